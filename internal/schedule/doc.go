// Package schedule is the cron-style timer source: it reads crontabs, plans firings and names each by its entry and
// the minute it was due.
//
// A Plan owns what is due when; it has no clock of its own, its callers bring the time of day. A Client sends firings
// to front ends over HTTP and owns the retries of each. The appliance and the simulation plan and send through their
// own front ends, the fake timer client and the scenarios through a Client.
package schedule
