// Package schedule fires requests on cron schedules. It parses crontabs, plans firings and derives the ID of each firing
// from its entry and the minute in which it was due, so that front ends deduplicate the requests of several clients that
// run the same crontab.
//
// A Plan holds the due times. It has no clock: its callers pass the current time. A Client sends firings to front ends over
// HTTP and retries them. The appliance and the simulation use a Plan and submit firings to their own front ends; the fake
// timer client and the scenarios use a Client.
package schedule
