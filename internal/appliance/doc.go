// Package appliance runs one process of the gateway: it opens the state folder, recovers what an earlier process left,
// serves, drains and stops in order, fires schedules, runs background tasks and answers the console on a Unix socket.
//
// An Appliance owns the lifecycle, the schedules, the function registry and the statistics; the event loops own all
// state of requests. Run is called by the serve command. Lifecycle and TaskScheduler decide without I/O or a clock, so
// the simulation runs them too.
//
//   - appliance.go runs the process; lifecycle.go decides its states; startup.go carries out its start.
//   - schedules.go fires the crontab; preload.go has replicas loaded before they are needed.
//   - background_tasks.go runs the tasks that task_scheduler.go picks.
//   - function_registry.go and releases.go change the functions' versions.
//   - statistics.go counts ended requests; the api files answer the console, one file per resource.
package appliance
