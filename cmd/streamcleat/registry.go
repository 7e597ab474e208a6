package main

import (
	"fmt"
	"os"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/console"
	"streamcleat/internal/registry"
)

// handlerCommand returns the commands of the function registry.
func handlerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "handler", Short: "Manage versions of functions, their aliases and rollouts"}
	cmd.AddCommand(handlerPublish(), handlerAlias(), handlerRollout("rollout"), handlerRelease(), handlerRollback("rollback"),
		handlerWithdraw(), handlerVerify(), handlerPull(), handlerSign(), handlerKey(), handlerVerifyContent("verify-content"),
		handlerList(), handlerShow(), handlerAudit("audit"))
	cmd.AddCommand(deprecated(handlerRollout("roll"), "rollout"), deprecated(handlerRollback("back"), "rollback"),
		deprecated(handlerAudit("trail"), "audit"), deprecated(handlerVerifyContent("scrub"), "verify-content"))
	return cmd
}

// Resources on the console socket.
const (
	registryResource   = "registry"
	auditTrailResource = "trail"
)

func handlerList() *cobra.Command {
	return queryCommand("list", "List functions with their versions and aliases", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			list, err := functions(c)
			return list, func() string { return console.Table(console.RegistryRows(list)) }, err
		})
}

func handlerAudit(name string) *cobra.Command {
	return queryCommand(name, "Show the audit trail: who changed what, and when", cobra.NoArgs,
		func(c *console.Client, _ []string) (any, func() string, error) {
			var entries []registry.Entry
			err := c.Get(auditTrailResource, &entries)
			return entries, func() string { return console.Table(console.AuditRows(entries)) }, err
		})
}

func handlerShow() *cobra.Command {
	return queryCommand("show FUNCTION", "Show a function with its versions, aliases and rollouts", cobra.ExactArgs(1),
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

// functions returns the functions in the appliance's registry.
func functions(c *console.Client) ([]registry.View, error) {
	var list []registry.View
	err := c.Get(registryResource, &list)
	return list, err
}

// findVersion returns the version to which a reference resolves at the appliance.
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
			if resolves(ref, function.Aliases, version) {
				return version, nil
			}
		}
	}
	return registry.Version{}, fmt.Errorf("%s: %w", text, registry.ErrUnknown)
}

// resolves reports whether a reference resolves to a version, by digest, by the version's name or by alias.
func resolves(ref registry.Reference, aliases map[string]digest.Digest, version registry.Version) bool {
	if version.Digest == ref.Digest {
		return true
	}
	return ref.Digest == "" && (version.Name == ref.Tag || aliases[ref.Tag] == version.Digest)
}

func handlerVerify() *cobra.Command {
	cmd := &cobra.Command{Use: "verify FUNCTION:VERSION FILE", Short: "Check the digest of a manifest against the registry", Args: cobra.ExactArgs(2)}
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
			return fmt.Errorf("%s has digest %s, but %s:%s has %s", args[1], actual, version.Function, version.Name, version.Digest)
		}
		fmt.Printf("%s is %s:%s\n", args[1], version.Function, version.Name)
		return nil
	}
	return cmd
}
