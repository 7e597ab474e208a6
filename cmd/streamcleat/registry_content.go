package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/spf13/cobra"

	"streamcleat/internal/registry"
	"streamcleat/internal/registry/oci"
)

const (
	registrySecretVariable = "STREAMCLEAT_REGISTRY_SECRET"
	contentFolder          = "handlers"
	resolveTimeout         = time.Minute
	resolveFolderBytes     = 64 << 20 // manifests and signatures of one version
)

// resolveRemote asks an OCI registry for a version and for the signatures attached to it; what it reads is not kept.
func resolveRemote(from, user, function, tag string) (version registry.Version, signatures [][]byte, err error) {
	dir, err := os.MkdirTemp("", "handler")
	if err != nil {
		return version, nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a folder left in the temporary one does no harm
	folder, err := oci.OpenFolder(dir, resolveFolderBytes)
	if err != nil {
		return version, nil, err
	}
	client, err := newRegistryClient(from, user, folder)
	if err != nil {
		return version, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	if version, err = client.Resolve(ctx, function, tag); err != nil {
		return version, nil, err
	}
	signatures, err = client.Signatures(ctx, function, version.Digest)
	return version, signatures, err
}

func newRegistryClient(from, user string, folder *oci.Folder) (*oci.Client, error) {
	client, err := oci.NewClient(from, user, os.Getenv(registrySecretVariable), folder)
	if err != nil {
		return nil, usageError(err)
	}
	return client, nil
}

// handlerPull fetches a version's content into a folder, for workers that load from there.
func handlerPull() *cobra.Command {
	var from, user, dir string
	var maxMegabytes int64
	cmd := &cobra.Command{
		Use:   "pull FUNCTION@DIGEST",
		Short: "Fetch a version's content into a folder, each layer once, checked by digest",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return pull(cmd.Context(), args[0], from, user, dir, maxMegabytes<<20)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&from, "from", "", "OCI registry, http(s)://host[/path]")
	flags.StringVar(&user, "user", "", "user at the registry; "+registrySecretVariable+" holds the secret")
	flags.StringVar(&dir, "folder", contentFolder, "folder for content, by digest")
	flags.Int64Var(&maxMegabytes, "most", 4096, "MB that the folder may hold; the least recently used content goes first")
	require(cmd, "from")
	return cmd
}

func pull(ctx context.Context, text, from, user, dir string, maxBytes int64) error {
	ref, err := registry.ParseRef(text)
	if err != nil || ref.Digest == "" {
		return usageError(fmt.Errorf("%q is not FUNCTION@DIGEST", text))
	}
	folder, err := oci.OpenFolder(dir, maxBytes)
	if err != nil {
		return err
	}
	client, err := newRegistryClient(from, user, folder)
	if err != nil {
		return err
	}
	held, err := client.Pull(ctx, ref.Function, ref.Digest)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d pieces held, %d bytes of layers fetched\n", text, len(held), client.Fetched)
	return nil
}

// handlerVerifyContent checks a content folder. It is not called verify: that one checks a manifest against the registry.
func handlerVerifyContent(word string) *cobra.Command {
	var dir string
	var minAge time.Duration
	cmd := &cobra.Command{
		Use:   word,
		Short: "Check a content folder against its digests; what is wrong is removed and fetched anew by the next pull",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return verifyContent(dir, minAge)
		},
	}
	cmd.Flags().StringVar(&dir, "folder", contentFolder, "folder of handler pull")
	cmd.Flags().DurationVar(&minAge, "every", 0, "pass over what was written within this time")
	return cmd
}

func verifyContent(dir string, minAge time.Duration) error {
	// Content checked in this run is younger than the run by at least this much.
	const checkedMargin = 1e-3 // seconds
	if _, err := os.Stat(dir); err != nil {
		return err
	}
	folder, err := oci.OpenFolder(dir, math.MaxInt64)
	if err != nil {
		return err
	}
	checked, corrupt := 0, 0
	for start := time.Now(); ; checked++ {
		digest, ok := folder.VerifyOldest(max(minAge.Seconds(), time.Since(start).Seconds()+checkedMargin))
		if digest == "" {
			break
		}
		if !ok {
			corrupt++
			fmt.Printf("%s is wrong and let go\n", digest)
		}
	}
	fmt.Printf("%d pieces checked, %d wrong\n", checked, corrupt)
	if corrupt > 0 {
		return fmt.Errorf("%d pieces were wrong", corrupt)
	}
	return nil
}
