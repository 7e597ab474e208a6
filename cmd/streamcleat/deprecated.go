package main

import "github.com/spf13/cobra"

// deprecated turns a command into the hidden, deprecated spelling of another one, so that users' scripts go on working.
// The command works as before; only standard error has a note that names its replacement.
func deprecated(cmd *cobra.Command, replacement string) *cobra.Command {
	cmd.Hidden = true
	cmd.PersistentPreRun = func(*cobra.Command, []string) {
		// cobra's own Deprecated field is not used: it hides the sub-commands from the help text as well.
		cmd.PrintErrf("Command %q is deprecated, use %q instead\n", cmd.Name(), replacement)
	}
	return cmd
}
