package main

import "github.com/spf13/cobra"

// deprecated turns cmd into a hidden alias of the command that replaces it, so that users' scripts continue to work. It
// behaves as before and also prints a deprecation notice, which names the replacement, on standard error.
func deprecated(cmd *cobra.Command, replacement string) *cobra.Command {
	cmd.Hidden = true
	cmd.PersistentPreRun = func(*cobra.Command, []string) {
		// Not done with cobra's Deprecated field, which would also hide the subcommands from the help text.
		cmd.PrintErrf("Command %q is deprecated, use %q instead\n", cmd.Name(), replacement)
	}
	return cmd
}
