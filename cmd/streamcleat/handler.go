package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/appliance"
	"streamcleat/internal/console"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/oci"
	"streamcleat/internal/registry/signing"
)

// handlerCommand holds what is done to the registry of functions.
func handlerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "handler", Short: "Versions of functions, the aliases that name them, and rollouts"}
	cmd.AddCommand(handlerPublish(), handlerAlias(), handlerRoll(), handlerRelease(), handlerBack(), handlerWithdraw(), handlerVerify(), handlerPull(), handlerSign(), handlerKey(), handlerScrub(),
		handlerList(), handlerShow(), handlerTrail())
	return cmd
}

func handlerList() *cobra.Command {
	return shown("list", "Functions with their versions and aliases", cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		var list []registry.View
		err := c.Get("registry", &list)
		return list, func() string { return console.Table(console.RegistryRows(list)) }, err
	})
}

func handlerTrail() *cobra.Command {
	return shown("trail", "Who changed what when", cobra.NoArgs, func(c *console.Client, _ []string) (any, func() string, error) {
		var list []registry.Entry
		err := c.Get("trail", &list)
		return list, func() string { return console.Table(console.TrailRows(list)) }, err
	})
}

func handlerShow() *cobra.Command {
	return shown("show FUNCTION", "One function with its versions, aliases and rollouts", cobra.ExactArgs(1),
		func(c *console.Client, args []string) (any, func() string, error) {
			var list []registry.View
			if err := c.Get("registry", &list); err != nil {
				return nil, nil, err
			}
			for _, f := range list {
				if f.Function == args[0] {
					return f, func() string { return console.Table(console.RegistryRows([]registry.View{f})) }, nil
				}
			}
			return nil, nil, fmt.Errorf("function %s: %w", args[0], registry.ErrUnknown)
		})
}

// change adds the flags that every change has, and makes it.
func change(cmd *cobra.Command, make func(c *console.Client, args []string) (appliance.Change, error)) *cobra.Command {
	var why string
	var asJSON bool
	client := reach(cmd)
	cmd.Flags().StringVar(&why, "why", "", "reason, for the audit trail")
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		ch, err := make(c, args)
		if err != nil {
			return err
		}
		if ch.Reason == "" {
			ch.Reason = why
		}
		said, err := c.Change(ch)
		if err != nil {
			return err
		}
		return show(asJSON, map[string]string{"said": said}, func() string { return said })
	}
	return cmd
}

// named is the version that a reference names at the box.
func named(c *console.Client, ref string) (registry.Version, error) {
	var list []registry.View
	if err := c.Get("registry", &list); err != nil {
		return registry.Version{}, err
	}
	r, err := registry.ParseRef(ref)
	if err != nil {
		return registry.Version{}, err
	}
	for _, f := range list {
		for _, v := range f.Versions {
			if f.Function == r.Function && (v.Digest == r.Digest || r.Digest == "" && (v.Name == r.Tag || f.Aliases[r.Tag] == v.Digest)) {
				return v, nil
			}
		}
	}
	return registry.Version{}, fmt.Errorf("%s: %w", ref, registry.ErrUnknown)
}

func handlerPublish() *cobra.Command {
	var v registry.Version
	var from, user string
	var signatures []string
	cmd := &cobra.Command{Use: "publish FUNCTION:VERSION", Short: "Add a version; versions never change", Args: cobra.ExactArgs(1)}
	manifest := manifestFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&from, "from", "", "OCI registry, http(s)://host[/path], that has FUNCTION:VERSION; digest and figures come from there")
	f.StringVar(&user, "user", "", "user at the registry; STREAMCLEAT_REGISTRY_SECRET holds the secret")
	f.IntVar(&v.Concurrency, "lanes", 0, "events that a copy runs at a time")
	f.Float64Var(&v.MemoryMB, "memory", 0, "MB of one copy")
	f.Float64Var(&v.LoadTime, "load", 0, "usual seconds of a load")
	f.StringSliceVar(&v.Classes, "types", nil, "event types that it takes; none: all")
	f.StringSliceVar(&signatures, "signature", nil, "envelope of handler sign; --from finds those that the registry has by itself")
	return change(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		name, version, err := versioned(args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		var envelopes [][]byte
		for _, path := range signatures {
			data, err := os.ReadFile(path)
			if err != nil {
				return appliance.Change{}, err
			}
			envelopes = append(envelopes, data)
		}
		if from != "" {
			found, more, err := resolve(from, user, name, version)
			if err != nil {
				return appliance.Change{}, err
			}
			return appliance.Change{Entry: registry.Entry{Publish: &found}, Signatures: append(envelopes, more...)}, nil
		}
		v.Function, v.Name = name, version
		if v.Digest, err = manifest(); err != nil {
			return appliance.Change{}, err
		}
		return appliance.Change{Entry: registry.Entry{Publish: &v}, Signatures: envelopes}, nil
	})
}

// versioned cuts FUNCTION:VERSION.
func versioned(arg string) (function, version string, err error) {
	function, version, ok := strings.Cut(arg, ":")
	if !ok {
		return "", "", exit{2, fmt.Errorf("%q is not FUNCTION:VERSION", arg)}
	}
	return function, version, nil
}

// manifestFlags are the two ways to name a manifest: its digest, or the file whose digest it is.
func manifestFlags(cmd *cobra.Command) func() (digest.Digest, error) {
	sum := cmd.Flags().String("digest", "", "sha256:... of its manifest")
	file := cmd.Flags().String("file", "", "manifest whose digest it is, in place of --digest")
	return func() (digest.Digest, error) {
		if *file == "" {
			return digest.Digest(*sum), nil
		}
		data, err := os.ReadFile(*file)
		return digest.FromBytes(data), err
	}
}

// resolve asks an OCI registry for a version and for what vouches for it; what it reads on the way is not kept.
func resolve(from, user, function, tag string) (v registry.Version, signatures [][]byte, err error) {
	dir, err := os.MkdirTemp("", "handler")
	if err != nil {
		return v, nil, err
	}
	defer os.RemoveAll(dir)
	folder, err := oci.OpenFolder(dir, 64<<20)
	if err != nil {
		return v, nil, err
	}
	c, err := oci.NewClient(from, user, os.Getenv("STREAMCLEAT_REGISTRY_SECRET"), folder)
	if err != nil {
		return v, nil, exit{2, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if v, err = c.Resolve(ctx, function, tag); err != nil {
		return v, nil, err
	}
	signatures, err = c.Signatures(ctx, function, v.Digest)
	return v, signatures, err
}

// handlerSign makes an envelope in which a key vouches for a version.
func handlerSign() *cobra.Command {
	var key, id, out string
	cmd := &cobra.Command{Use: "sign FUNCTION:VERSION", Short: "Vouch for a version with a key", Args: cobra.ExactArgs(1)}
	manifest := manifestFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&key, "key", "", "private key, PEM")
	f.StringVar(&id, "id", "", "the key's id in the ring; its file's name without .pem otherwise")
	f.StringVarP(&out, "output", "o", "", "file for the envelope, DSSE JSON; standard output otherwise")
	cmd.MarkFlagRequired("key")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		name, version, err := versioned(args[0])
		if err != nil {
			return err
		}
		d, err := manifest()
		if err != nil {
			return err
		}
		private, err := os.ReadFile(key)
		if err != nil {
			return err
		}
		if id == "" {
			id = strings.TrimSuffix(filepath.Base(key), ".pem")
		}
		envelope, err := signing.Sign(id, private, name, version, d)
		if err != nil {
			return exit{2, err}
		}
		if out == "" {
			fmt.Println(string(envelope))
			return nil
		}
		return renameio.WriteFile(out, envelope, 0o644)
	}
	return cmd
}

// handlerKey makes a pair of keys.
func handlerKey() *cobra.Command {
	return &cobra.Command{Use: "key ID", Short: "Make a key: ID.pem, kept secret, and its entry for the ring", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			seed := make([]byte, 32)
			if _, err := rand.Read(seed); err != nil {
				return err
			}
			private, k, err := signing.NewKey(args[0], seed)
			if err != nil {
				return exit{2, err}
			}
			f, err := os.OpenFile(args[0]+".pem", os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return err
			}
			if _, err := f.Write(private); err != nil {
				return errors.Join(err, f.Close())
			}
			if err := f.Close(); err != nil {
				return err
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(signing.Ring{Need: 1, Keys: []signing.Key{k}})
		}}
}

// handlerScrub checks a content folder.
func handlerScrub() *cobra.Command {
	var dir string
	var every time.Duration
	cmd := &cobra.Command{Use: "scrub", Short: "Check a content folder against its digests; what is wrong is let go and fetched anew by the next pull", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&dir, "folder", "handlers", "folder of handler pull")
	cmd.Flags().DurationVar(&every, "every", 0, "pass over what was written within this time")
	cmd.RunE = func(*cobra.Command, []string) error {
		if _, err := os.Stat(dir); err != nil {
			return err
		}
		folder, err := oci.OpenFolder(dir, math.MaxInt64)
		if err != nil {
			return err
		}
		looked, wrong := 0, 0
		for began := time.Now(); ; looked++ {
			d, right := folder.Scrub(max(every.Seconds(), time.Since(began).Seconds()+1e-3))
			if d == "" {
				break
			}
			if !right {
				wrong++
				fmt.Printf("%s is wrong and let go\n", d)
			}
		}
		fmt.Printf("%d pieces checked, %d wrong\n", looked, wrong)
		if wrong > 0 {
			return fmt.Errorf("%d pieces were wrong", wrong)
		}
		return nil
	}
	return cmd
}

// handlerPull fetches a version's content into a folder, for workers that load from there.
func handlerPull() *cobra.Command {
	var from, user, dir string
	var most int64
	cmd := &cobra.Command{Use: "pull FUNCTION@DIGEST", Short: "Fetch a version's content into a folder, each layer once, checked by digest", Args: cobra.ExactArgs(1)}
	f := cmd.Flags()
	f.StringVar(&from, "from", "", "OCI registry, http(s)://host[/path]")
	f.StringVar(&user, "user", "", "user at the registry; STREAMCLEAT_REGISTRY_SECRET holds the secret")
	f.StringVar(&dir, "folder", "handlers", "folder for content, by digest")
	f.Int64Var(&most, "most", 4096, "MB that the folder may hold; the longest unused goes first")
	cmd.MarkFlagRequired("from")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ref, err := registry.ParseRef(args[0])
		if err != nil || ref.Digest == "" {
			return exit{2, fmt.Errorf("%q is not FUNCTION@DIGEST", args[0])}
		}
		folder, err := oci.OpenFolder(dir, most<<20)
		if err != nil {
			return err
		}
		c, err := oci.NewClient(from, user, os.Getenv("STREAMCLEAT_REGISTRY_SECRET"), folder)
		if err != nil {
			return exit{2, err}
		}
		held, err := c.Pull(cmd.Context(), ref.Function, ref.Digest)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %d pieces held, %d bytes of layers fetched\n", args[0], len(held), c.Fetched)
		return nil
	}
	return cmd
}

func handlerAlias() *cobra.Command {
	var remove bool
	cmd := &cobra.Command{Use: "alias FUNCTION:ALIAS [VERSION]", Short: "Make an alias name a version at once", Args: cobra.RangeArgs(1, 2)}
	cmd.Flags().BoolVar(&remove, "remove", false, "remove the alias")
	return change(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		r, err := registry.ParseRef(args[0])
		if err != nil {
			return appliance.Change{}, exit{2, err}
		}
		m := &registry.Move{Function: r.Function, Alias: r.Tag}
		if !remove {
			if len(args) < 2 {
				return appliance.Change{}, exit{2, fmt.Errorf("which version is %s to name?", args[0])}
			}
			v, err := named(c, r.Function+":"+args[1])
			if err != nil {
				return appliance.Change{}, err
			}
			m.Digest = v.Digest
		}
		return appliance.Change{Entry: registry.Entry{Move: m}}, nil
	})
}

func handlerRoll() *cobra.Command {
	var ro registry.Rollout
	cmd := &cobra.Command{Use: "roll FUNCTION:ALIAS VERSION", Short: "Take an alias to a version by shares or tenants; it goes back by itself when answers get worse",
		Args: cobra.ExactArgs(2)}
	f := cmd.Flags()
	f.Float64SliceVar(&ro.Steps, "steps", []float64{0.05, 0.25, 0.5}, "shares that it goes through")
	f.Float64Var(&ro.StepDuration, "hold", 60, "seconds at each step")
	f.IntVar(&ro.MinResponses, "least", 20, "answers of the new version that a step needs")
	f.Float64Var(&ro.MaxFailureShare, "most-bad", 0.05, "share of bad answers, beyond that of the old version, at which it goes back")
	f.StringSliceVar(&ro.Tenants, "tenants", nil, "tenants whose events get the new version at once")
	return change(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		r, err := registry.ParseRef(args[0])
		if err != nil {
			return appliance.Change{}, exit{2, err}
		}
		v, err := named(c, r.Function+":"+args[1])
		if err != nil {
			return appliance.Change{}, err
		}
		ro.Function, ro.Alias, ro.To = r.Function, r.Tag, v.Digest
		return appliance.Change{Entry: registry.Entry{Rollout: &ro}}, nil
	})
}

func handlerRelease() *cobra.Command {
	var r appliance.Release
	cmd := &cobra.Command{Use: "release VERSION", Short: "Take many functions to a version, each alias moving when a copy stands", Args: cobra.ExactArgs(1)}
	f := cmd.Flags()
	f.StringVar(&r.Alias, "alias", registry.Current, "alias that moves")
	f.StringSliceVar(&r.Functions, "functions", nil, "functions; none: all that have the version")
	f.IntVar(&r.Loads, "loads", 4, "loads at a time")
	return change(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		r.Tag = args[0]
		return appliance.Change{Release: &r}, nil
	})
}

func handlerBack() *cobra.Command {
	cmd := &cobra.Command{Use: "back FUNCTION:ALIAS", Short: "Take an alias back to what it named before", Args: cobra.ExactArgs(1)}
	return change(cmd, func(_ *console.Client, args []string) (appliance.Change, error) {
		r, err := registry.ParseRef(args[0])
		if err != nil {
			return appliance.Change{}, exit{2, err}
		}
		ch := appliance.Change{Back: &struct {
			Function string `json:"function"`
			Alias    string `json:"alias"`
		}{r.Function, r.Tag}}
		return ch, nil
	})
}

func handlerWithdraw() *cobra.Command {
	cmd := &cobra.Command{Use: "withdraw FUNCTION:VERSION", Short: "Take a version out of use for good", Args: cobra.ExactArgs(1)}
	return change(cmd, func(c *console.Client, args []string) (appliance.Change, error) {
		v, err := named(c, args[0])
		if err != nil {
			return appliance.Change{}, err
		}
		return appliance.Change{Entry: registry.Entry{Withdraw: v.Function + "@" + string(v.Digest)}}, nil
	})
}

func handlerVerify() *cobra.Command {
	cmd := &cobra.Command{Use: "verify FUNCTION:VERSION FILE", Short: "Check a manifest's digest against the registry", Args: cobra.ExactArgs(2)}
	client := reach(cmd)
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		c, err := client()
		if err != nil {
			return err
		}
		v, err := named(c, args[0])
		if err != nil {
			return err
		}
		data, err := os.ReadFile(args[1])
		if err != nil {
			return err
		}
		if got := digest.FromBytes(data); got != v.Digest {
			return fmt.Errorf("%s has digest %s, and %s:%s is %s", args[1], got, v.Function, v.Name, v.Digest)
		}
		fmt.Printf("%s is %s:%s\n", args[1], v.Function, v.Name)
		return nil
	}
	return cmd
}
