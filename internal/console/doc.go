// Package console shows the status of a running appliance and sends it commands over its Unix socket. It has a client of
// the admin API, text tables for the program's sub-commands, and a terminal UI with the same tables.
//
// The package owns only the state of the terminal UI. The sub-commands use Client and the table functions; the console
// command calls Run.
package console
