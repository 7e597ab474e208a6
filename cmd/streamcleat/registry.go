package main

import (
	"fmt"
	"os"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/console"
	"streamcleat/internal/registry"
)

// handlerCommand returns the command whose subcommands manage the function registry.
func handlerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "handler", Short: "Manage versions of functions, their aliases and rollouts"}
	cmd.AddCommand(handlerPublishCommand(), handlerAliasCommand(), handlerRolloutCommand("rollout"), handlerReleaseCommand(),
		handlerRollbackCommand("rollback"), handlerWithdrawCommand(), handlerVerifyCommand(), handlerPullCommand(), handlerSignCommand(),
		handlerKeyCommand(), handlerVerifyContentCommand("verify-content"), handlerListCommand(), handlerShowCommand(),
		handlerAuditCommand("audit"))
	cmd.AddCommand(deprecated(handlerRolloutCommand("roll"), "rollout"), deprecated(handlerRollbackCommand("back"), "rollback"),
		deprecated(handlerAuditCommand("trail"), "audit"), deprecated(handlerVerifyContentCommand("scrub"), "verify-content"))
	return cmd
}

// Resources that the console socket serves.
const (
	registryResource   = "registry"
	auditTrailResource = "trail"
)

func handlerListCommand() *cobra.Command {
	return queryCommand("list", "List functions with their versions and aliases", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			list, err := listFunctions(c)
			return list, func() string { return console.Table(console.RegistryRows(list)) }, err
		})
}

func handlerAuditCommand(name string) *cobra.Command {
	return queryCommand(name, "Show the audit trail: who changed what, and when", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			var entries []registry.Entry
			err := c.Get(auditTrailResource, &entries)
			return entries, func() string { return console.Table(console.AuditRows(entries)) }, err
		})
}

func handlerShowCommand() *cobra.Command {
	return queryCommand("show FUNCTION", "Show a function with its versions, aliases and rollouts", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			list, err := listFunctions(c)
			if err != nil {
				return nil, nil, err
			}
			for _, function := range list {
				if function.Function == args[0] {
					return function, func() string { return console.Table(console.RegistryRows([]registry.View{function})) }, nil
				}
			}
			return nil, nil, fmt.Errorf("function %s: %w", args[0], registry.ErrUnknown)
		})
}

// listFunctions returns the functions in the appliance's registry.
func listFunctions(c *console.Client) ([]registry.View, error) {
	var list []registry.View
	err := c.Get(registryResource, &list)
	return list, err
}

// findVersion returns the version to which a reference resolves in the appliance's registry.
func findVersion(c *console.Client, reference string) (registry.Version, error) {
	list, err := listFunctions(c)
	if err != nil {
		return registry.Version{}, err
	}
	ref, err := registry.ParseRef(reference)
	if err != nil {
		return registry.Version{}, err
	}
	for _, function := range list {
		if function.Function != ref.Function {
			continue
		}
		for _, version := range function.Versions {
			if resolves(ref, function.Aliases, version) {
				return version, nil
			}
		}
	}
	return registry.Version{}, fmt.Errorf("%s: %w", reference, registry.ErrUnknown)
}

// resolves reports whether a reference, which has a digest or a tag, resolves to a version. A tag is the version's name or an
// alias.
func resolves(ref registry.Reference, aliases map[string]digest.Digest, version registry.Version) bool {
	if version.Digest == ref.Digest {
		return true
	}
	return ref.Digest == "" && (version.Name == ref.Tag || aliases[ref.Tag] == version.Digest)
}

func handlerVerifyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "verify FUNCTION:VERSION FILE", Short: "Check the digest of a manifest against the registry", Args: cobra.ExactArgs(2)}
	newClient := clientFlags(cmd)
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := newClient()
		if err != nil {
			return err
		}
		version, err := findVersion(c, args[0])
		if err != nil {
			return err
		}
		manifest, err := os.ReadFile(args[1])
		if err != nil {
			return err
		}
		if actual := digest.FromBytes(manifest); actual != version.Digest {
			return fmt.Errorf("%s has digest %s, but %s:%s has %s", args[1], actual, version.Function, version.Name, version.Digest)
		}
		fmt.Printf("%s is %s:%s\n", args[1], version.Function, version.Name)
		return nil
	}
	return cmd
}
