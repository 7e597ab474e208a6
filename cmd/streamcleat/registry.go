package main

import (
	"fmt"
	"os"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/console"
	"streamcleat/internal/registry"
)

// handlerCommand has the commands of the function registry.
func handlerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "handler", Short: "Versions of functions, the aliases that name them, and rollouts"}
	cmd.AddCommand(handlerPublish(), handlerAlias(), handlerRollout("rollout"), handlerRelease(), handlerRollback("rollback"),
		handlerWithdraw(), handlerVerify(), handlerPull(), handlerSign(), handlerKey(), handlerVerifyContent("verify-content"),
		handlerList(), handlerShow(), handlerAudit("audit"))
	cmd.AddCommand(deprecated(handlerRollout("roll"), "rollout"), deprecated(handlerRollback("back"), "rollback"),
		deprecated(handlerAudit("trail"), "audit"), deprecated(handlerVerifyContent("scrub"), "verify-content"))
	return cmd
}

// Lists on the console's socket.
const (
	registryResource   = "registry"
	auditTrailResource = "trail"
)

func handlerList() *cobra.Command {
	return queryCommand("list", "Functions with their versions and aliases", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			list, err := functions(c)
			return list, func() string { return console.Table(console.RegistryRows(list)) }, err
		})
}

func handlerAudit(word string) *cobra.Command {
	return queryCommand(word, "The audit trail: who changed what when", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			var entries []registry.Entry
			err := c.Get(auditTrailResource, &entries)
			return entries, func() string { return console.Table(console.AuditRows(entries)) }, err
		})
}

func handlerShow() *cobra.Command {
	return queryCommand("show FUNCTION", "One function with its versions, aliases and rollouts", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			list, err := functions(c)
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

// functions reads the appliance's registry.
func functions(c *console.Client) ([]registry.View, error) {
	var list []registry.View
	err := c.Get(registryResource, &list)
	return list, err
}

// findVersion returns the version that a reference names at the appliance.
func findVersion(c *console.Client, text string) (registry.Version, error) {
	list, err := functions(c)
	if err != nil {
		return registry.Version{}, err
	}
	ref, err := registry.ParseRef(text)
	if err != nil {
		return registry.Version{}, err
	}
	for _, function := range list {
		if function.Function != ref.Function {
			continue
		}
		for _, version := range function.Versions {
			if names(ref, function.Aliases, version) {
				return version, nil
			}
		}
	}
	return registry.Version{}, fmt.Errorf("%s: %w", text, registry.ErrUnknown)
}

// names reports whether a reference to a function names one of its versions, by digest, by the version's name or by alias.
func names(ref registry.Ref, aliases map[string]digest.Digest, version registry.Version) bool {
	if version.Digest == ref.Digest {
		return true
	}
	return ref.Digest == "" && (version.Name == ref.Tag || aliases[ref.Tag] == version.Digest)
}

func handlerVerify() *cobra.Command {
	cmd := &cobra.Command{Use: "verify FUNCTION:VERSION FILE", Short: "Check a manifest's digest against the registry", Args: cobra.ExactArgs(2)}
	client := clientFlags(cmd)
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
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
			return fmt.Errorf("%s has digest %s, and %s:%s is %s", args[1], actual, version.Function, version.Name, version.Digest)
		}
		fmt.Printf("%s is %s:%s\n", args[1], version.Function, version.Name)
		return nil
	}
	return cmd
}
