// Package console shows a running appliance and gives it commands, over its Unix socket: tables as text for the
// sub-commands of the program, and a terminal console that shows the same and takes keys.
//
// It owns nothing but what is on the screen. The sub-commands use Client and the tables; the console command calls Run.
package console
