// Package console shows the status of a running appliance and sends it commands over its Unix socket. It has a client of
// the admin API, text tables for the program's subcommands, and a terminal UI that shows the same tables.
//
// The package owns only the state of the terminal UI. The subcommands use [Client] and the table functions; the console
// command calls [Run].
package console
