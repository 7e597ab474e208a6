package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/console"
	"streamcleat/internal/registry"
)

// changeBuilder makes a change of the registry from a command's arguments.
type changeBuilder func(c *console.Client, args []string) (appliance.Change, error)

// changeCommand adds the flags that every change has, and the run function that makes the change.
func changeCommand(cmd *cobra.Command, build changeBuilder) *cobra.Command {
	var reason string
	var asJSON bool
	client := clientFlags(cmd)
	cmd.Flags().StringVar(&reason, "why", "", "reason, for the audit trail")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		change, err := build(c, args)
		if err != nil {
			return err
		}
		if change.Reason == "" {
			change.Reason = reason
		}
		answer, err := c.Change(change)
		if err != nil {
			return err
		}
		return printValue(asJSON, changeAnswer{Said: answer}, func() string { return answer })
	}
	return cmd
}

// changeAnswer is what --json prints after a change.
type changeAnswer struct {
	Said string `json:"said"`
}

// publishOptions are the flags of handler publish.
type publishOptions struct {
	version    registry.Version // the figures that flags state
	from, user string
	signatures []string
}

func handlerPublish() *cobra.Command {
	var o publishOptions
	cmd := &cobra.Command{Use: "publish FUNCTION:VERSION", Short: "Add a version; versions never change", Args: cobra.ExactArgs(1)}
	manifestDigest := manifestFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&o.from, "from", "", "OCI registry, http(s)://host[/path], that has FUNCTION:VERSION; digest and figures come from there")
	flags.StringVar(&o.user, "user", "", "user at the registry; STREAMCLEAT_REGISTRY_SECRET holds the secret")
	flags.IntVar(&o.version.Concurrency, "lanes", 0, "requests that a replica runs at a time")
	flags.Float64Var(&o.version.MemoryMB, "memory", 0, "MB of one replica")
	flags.Float64Var(&o.version.LoadTime, "load", 0, "usual seconds of a load")
	flags.StringSliceVar(&o.version.Classes, "types", nil, "event types that it takes; none: all")
	flags.StringSliceVar(&o.signatures, "signature", nil, "envelope of handler sign; --from finds those that the registry has by itself")
	return changeCommand(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		return o.change(args[0], manifestDigest)
	})
}

// change makes the publication, from flags or from what the OCI registry has.
func (o publishOptions) change(arg string, manifestDigest func() (digest.Digest, error)) (appliance.Change, error) {
	function, name, err := splitVersion(arg)
	if err != nil {
		return appliance.Change{}, err
	}
	var envelopes [][]byte
	for _, path := range o.signatures {
		envelope, err := os.ReadFile(path)
		if err != nil {
			return appliance.Change{}, err
		}
		envelopes = append(envelopes, envelope)
	}
	version := o.version
	if o.from != "" {
		found, attached, err := resolveRemote(o.from, o.user, function, name)
		if err != nil {
			return appliance.Change{}, err
		}
		version = found
		envelopes = append(envelopes, attached...)
	} else {
		version.Function = function
		version.Name = name
		if version.Digest, err = manifestDigest(); err != nil {
			return appliance.Change{}, err
		}
	}
	return appliance.Change{Entry: registry.Entry{Publish: &version}, Signatures: envelopes}, nil
}

// splitVersion cuts FUNCTION:VERSION.
func splitVersion(arg string) (function, version string, err error) {
	function, version, ok := strings.Cut(arg, ":")
	if !ok {
		return "", "", usageError(fmt.Errorf("%q is not FUNCTION:VERSION", arg))
	}
	return function, version, nil
}

// manifestFlags adds the two ways to name a manifest: its digest, or the file whose digest it is.
func manifestFlags(cmd *cobra.Command) func() (digest.Digest, error) {
	stated := cmd.Flags().String("digest", "", "sha256:... of its manifest")
	file := cmd.Flags().String("file", "", "manifest whose digest it is, in place of --digest")
	return func() (digest.Digest, error) {
		if *file == "" {
			return digest.Digest(*stated), nil
		}
		data, err := os.ReadFile(*file)
		return digest.FromBytes(data), err
	}
}

func handlerAlias() *cobra.Command {
	var remove bool
	cmd := &cobra.Command{Use: "alias FUNCTION:ALIAS [VERSION]", Short: "Make an alias name a version at once", Args: cobra.RangeArgs(1, 2)}
	cmd.Flags().BoolVar(&remove, "remove", false, "remove the alias")
	return changeCommand(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		ref, err := parseAlias(args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		move := &registry.AliasUpdate{Function: ref.Function, Alias: ref.Tag}
		if !remove {
			if len(args) < 2 {
				return appliance.Change{}, usageError(fmt.Errorf("which version is %s to name?", args[0]))
			}
			version, err := findVersion(c, ref.Function+":"+args[1])
			if err != nil {
				return appliance.Change{}, err
			}
			move.Digest = version.Digest
		}
		return appliance.Change{Entry: registry.Entry{AliasUpdate: move}}, nil
	})
}

// parseAlias reads FUNCTION:ALIAS.
func parseAlias(arg string) (registry.Ref, error) {
	ref, err := registry.ParseRef(arg)
	if err != nil {
		return ref, usageError(err)
	}
	return ref, nil
}

func handlerRollout(word string) *cobra.Command {
	var rollout registry.Rollout
	cmd := &cobra.Command{
		Use:   word + " FUNCTION:ALIAS VERSION",
		Short: "Roll an alias out to a version by shares or tenants; it rolls back by itself when answers get worse",
		Args:  cobra.ExactArgs(2),
	}
	flags := cmd.Flags()
	flags.Float64SliceVar(&rollout.Steps, "steps", []float64{0.05, 0.25, 0.5}, "shares that it goes through")
	flags.Float64Var(&rollout.StepDuration, "hold", 60, "seconds at each step")
	flags.IntVar(&rollout.MinResponses, "least", 20, "answers of the new version that a step needs")
	flags.Float64Var(&rollout.MaxExcessFailureRate, "most-bad", 0.05, "share of failed answers, beyond that of the old version, at which it rolls back")
	flags.StringSliceVar(&rollout.Tenants, "tenants", nil, "tenants whose requests get the new version at once")
	return changeCommand(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		ref, err := parseAlias(args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		version, err := findVersion(c, ref.Function+":"+args[1])
		if err != nil {
			return appliance.Change{}, err
		}
		rollout.Function = ref.Function
		rollout.Alias = ref.Tag
		rollout.To = version.Digest
		return appliance.Change{Entry: registry.Entry{Rollout: &rollout}}, nil
	})
}

func handlerRelease() *cobra.Command {
	var release appliance.Release
	cmd := &cobra.Command{
		Use:   "release VERSION",
		Short: "Take many functions to a version, each alias moving when a replica is loaded",
		Args:  cobra.ExactArgs(1),
	}
	flags := cmd.Flags()
	flags.StringVar(&release.Alias, "alias", registry.Current, "alias that moves")
	flags.StringSliceVar(&release.Functions, "functions", nil, "functions; none: all that have the version")
	flags.IntVar(&release.MaxConcurrentLoads, "loads", 4, "loads at a time")
	return changeCommand(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		release.Tag = args[0]
		return appliance.Change{Release: &release}, nil
	})
}

func handlerRollback(word string) *cobra.Command {
	cmd := &cobra.Command{Use: word + " FUNCTION:ALIAS", Short: "Take an alias back to what it named before", Args: cobra.ExactArgs(1)}
	return changeCommand(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		ref, err := parseAlias(args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		change := appliance.Change{Rollback: &struct {
			Function string `json:"function"`
			Alias    string `json:"alias"`
		}{ref.Function, ref.Tag}}
		return change, nil
	})
}

func handlerWithdraw() *cobra.Command {
	cmd := &cobra.Command{Use: "withdraw FUNCTION:VERSION", Short: "Take a version out of use for good", Args: cobra.ExactArgs(1)}
	return changeCommand(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		version, err := findVersion(c, args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		return appliance.Change{Entry: registry.Entry{Withdraw: version.Function + "@" + string(version.Digest)}}, nil
	})
}
