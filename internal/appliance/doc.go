// Package appliance runs one process of the gateway: it opens the state folder, recovers the state of the previous
// process, serves, shuts down gracefully, fires schedules, runs background tasks and serves the admin API on a Unix
// socket.
//
// An Appliance owns the lifecycle, the schedules, the function registry and the statistics. All state of requests is
// owned by the event loops. Run is called by the serve command. Lifecycle and TaskScheduler do no I/O and have no
// clock, so that the simulation can run them as well.
//
//   - appliance.go runs the process, lifecycle.go has its state machine, startup.go and shutdown.go its actions.
//   - schedules.go fires the crontab, preload.go loads replicas before they are needed.
//   - background_tasks.go runs the tasks that task_scheduler.go selects.
//   - function_registry.go, keyring.go, versions.go and releases.go change, verify and resolve the versions of functions.
//   - statistics.go counts ended requests for the console, telemetry.go exports metrics and traces.
//   - console_socket.go opens the console's socket, api_server.go has the routes of the admin API, and the other api
//     files have one resource each.
package appliance
