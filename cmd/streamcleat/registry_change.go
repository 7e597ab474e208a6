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

// changeBuilder builds the registry change that a command with these arguments requests.
type changeBuilder func(c *console.Client, args []string) (appliance.Change, error)

// changeCommand adds the flags that all registry changes have in common, and a run function that sends the change that build
// returns.
func changeCommand(cmd *cobra.Command, build changeBuilder) *cobra.Command {
	var reason string
	var asJSON bool
	newClient := clientFlags(cmd)
	cmd.Flags().StringVar(&reason, "why", "", "reason for the audit trail")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := newClient()
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
		reply, err := c.Change(change)
		if err != nil {
			return err
		}
		return printValue(asJSON, changeReply{Text: reply}, func() string { return reply })
	}
	return cmd
}

// changeReply is the JSON output of a registry change.
type changeReply struct {
	Text string `json:"said"`
}

// publishOptions are the flags of handler publish.
type publishOptions struct {
	version    registry.Version // the properties set by flags
	from, user string
	signatures []string
}

func handlerPublishCommand() *cobra.Command {
	var o publishOptions
	cmd := &cobra.Command{Use: "publish FUNCTION:VERSION", Short: "Add a version; a published version cannot change", Args: cobra.ExactArgs(1)}
	manifestDigest := manifestFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&o.from, "from", "", "OCI registry, http(s)://host[/path], to read the digest and the properties of FUNCTION:VERSION from")
	flags.StringVar(&o.user, "user", "", "user name at the registry; the secret is in STREAMCLEAT_REGISTRY_SECRET")
	flags.IntVar(&o.version.Concurrency, "lanes", 0, "concurrent requests of a replica")
	flags.Float64Var(&o.version.MemoryMB, "memory", 0, "memory of a replica in MB")
	flags.Float64Var(&o.version.LoadTime, "load", 0, "usual load time in seconds")
	flags.StringSliceVar(&o.version.Classes, "types", nil, "event types that it accepts; all by default")
	flags.StringSliceVar(&o.signatures, "signature", nil, "file with an envelope from handler sign; --from adds those in the registry")
	return changeCommand(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		return o.change(args[0], manifestDigest)
	})
}

// change returns the change that publishes a version whose properties come from the flags or, with --from, from an OCI registry.
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

// splitVersion splits an argument of the form FUNCTION:VERSION.
func splitVersion(arg string) (function, version string, err error) {
	function, version, ok := strings.Cut(arg, ":")
	if !ok {
		return "", "", usageError(fmt.Errorf("%q is not FUNCTION:VERSION", arg))
	}
	return function, version, nil
}

// manifestFlags adds flags for the digest and the file of a manifest, and returns a function that returns the digest that
// they specify.
func manifestFlags(cmd *cobra.Command) func() (digest.Digest, error) {
	digestFlag := cmd.Flags().String("digest", "", "digest of the manifest, sha256:...")
	fileFlag := cmd.Flags().String("file", "", "file of the manifest, instead of --digest")
	return func() (digest.Digest, error) {
		if *fileFlag == "" {
			return digest.Digest(*digestFlag), nil
		}
		data, err := os.ReadFile(*fileFlag)
		return digest.FromBytes(data), err
	}
}

func handlerAliasCommand() *cobra.Command {
	var remove bool
	cmd := &cobra.Command{Use: "alias FUNCTION:ALIAS [VERSION]", Short: "Point an alias at a version at once", Args: cobra.RangeArgs(1, 2)}
	cmd.Flags().BoolVar(&remove, "remove", false, "remove the alias instead")
	return changeCommand(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		ref, err := parseAlias(args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		update := &registry.AliasUpdate{Function: ref.Function, Alias: ref.Tag}
		if !remove {
			if len(args) < 2 {
				return appliance.Change{}, usageError(fmt.Errorf("%s: VERSION or --remove is required", args[0]))
			}
			version, err := findVersion(c, ref.Function+":"+args[1])
			if err != nil {
				return appliance.Change{}, err
			}
			update.Digest = version.Digest
		}
		return appliance.Change{Entry: registry.Entry{AliasUpdate: update}}, nil
	})
}

// parseAlias parses an argument of the form FUNCTION:ALIAS.
func parseAlias(arg string) (registry.Reference, error) {
	ref, err := registry.ParseRef(arg)
	if err != nil {
		return ref, usageError(err)
	}
	return ref, nil
}

func handlerRolloutCommand(name string) *cobra.Command {
	var rollout registry.Rollout
	cmd := &cobra.Command{
		Use:   name + " FUNCTION:ALIAS VERSION",
		Short: "Roll an alias out to a version by traffic share or tenant, with automatic rollback when more requests fail",
		Args:  cobra.ExactArgs(2),
	}
	flags := cmd.Flags()
	flags.Float64SliceVar(&rollout.Steps, "steps", []float64{0.05, 0.25, 0.5}, "traffic shares of the steps")
	flags.Float64Var(&rollout.StepDuration, "hold", 60, "duration of a step in seconds")
	flags.IntVar(&rollout.MinResponses, "least", 20, "minimum number of responses from the new version in a step")
	flags.Float64Var(&rollout.MaxExcessFailureRate, "most-bad", 0.05, "failure rate above that of the old version at which it rolls back")
	flags.StringSliceVar(&rollout.Tenants, "tenants", nil, "tenants whose requests use the new version at once")
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

func handlerReleaseCommand() *cobra.Command {
	var release appliance.Release
	cmd := &cobra.Command{
		Use:   "release VERSION",
		Short: "Release a version of many functions, switching each alias once a replica is loaded",
		Args:  cobra.ExactArgs(1),
	}
	flags := cmd.Flags()
	flags.StringVar(&release.Alias, "alias", registry.DefaultAlias, "alias to switch")
	flags.StringSliceVar(&release.Functions, "functions", nil, "functions; all with the version by default")
	flags.IntVar(&release.MaxConcurrentLoads, "loads", 4, "maximum number of concurrent loads")
	return changeCommand(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		release.Tag = args[0]
		return appliance.Change{Release: &release}, nil
	})
}

func handlerRollbackCommand(name string) *cobra.Command {
	cmd := &cobra.Command{Use: name + " FUNCTION:ALIAS", Short: "Roll an alias back to its previous version", Args: cobra.ExactArgs(1)}
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

func handlerWithdrawCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "withdraw FUNCTION:VERSION", Short: "Withdraw a version permanently", Args: cobra.ExactArgs(1)}
	return changeCommand(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		version, err := findVersion(c, args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		return appliance.Change{Entry: registry.Entry{Withdraw: version.Function + "@" + string(version.Digest)}}, nil
	})
}
