package main

import "github.com/spf13/cobra"

// deprecated makes cmd a hidden, deprecated alias of another command, so that users' scripts continue to work. It behaves
// as before and prints a note with its replacement on standard error.
func deprecated(cmd *cobra.Command, replacement string) *cobra.Command {
	cmd.Hidden = true
	cmd.PersistentPreRun = func(*cobra.Command, []string) {
		// cobra's own Deprecated field would hide the subcommands from the help text as well.
		cmd.PrintErrf("Command %q is deprecated, use %q instead\n", cmd.Name(), replacement)
	}
	return cmd
}
