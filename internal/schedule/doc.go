// Package schedule fires requests on cron schedules. It parses crontabs, plans firings and identifies each firing by its
// entry and the minute in which it was due, so that several clients of one crontab fire the same request.
//
// A Plan owns the due times. It has no clock: its callers pass the time of day. A Client sends firings to front ends
// over HTTP and owns their retries. The appliance and the simulation use a Plan and submit to their own front ends; the
// fake timer client and the scenarios use a Client.
package schedule
