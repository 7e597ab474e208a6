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
	maxResolveFolderBytes  = 64 << 20 // holds the manifests and signatures of one version
)

// resolveRemote reads a version and the signatures attached to it from an OCI registry. What it downloads goes into a temporary
// folder, which it removes.
func resolveRemote(from, user, function, tag string) (version registry.Version, signatures [][]byte, err error) {
	dir, err := os.MkdirTemp("", "handler")
	if err != nil {
		return version, nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // files left behind are in the system's temporary folder
	folder, err := oci.OpenFolder(dir, maxResolveFolderBytes)
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

// handlerPullCommand returns the command that fetches a version's content into a folder from which workers load it.
func handlerPullCommand() *cobra.Command {
	var from, user, dir string
	var maxMegabytes int64
	cmd := &cobra.Command{
		Use:   "pull FUNCTION@DIGEST",
		Short: "Fetch the content of a version into a folder and verify its digests; layers that are present are not fetched",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return pull(cmd.Context(), args[0], from, user, dir, maxMegabytes<<20)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&from, "from", "", "OCI registry, http(s)://host[/path]")
	flags.StringVar(&user, "user", "", "user name at the registry; the secret is in "+registrySecretVariable)
	flags.StringVar(&dir, "folder", contentFolder, "content folder")
	flags.Int64Var(&maxMegabytes, "most", 4096, "maximum size of the folder in MB; the least recently used content is evicted")
	requireFlags(cmd, "from")
	return cmd
}

func pull(ctx context.Context, reference, from, user, dir string, maxBytes int64) error {
	ref, err := registry.ParseRef(reference)
	if err != nil || ref.Digest == "" {
		return usageError(fmt.Errorf("%q is not FUNCTION@DIGEST", reference))
	}
	folder, err := oci.OpenFolder(dir, maxBytes)
	if err != nil {
		return err
	}
	client, err := newRegistryClient(from, user, folder)
	if err != nil {
		return err
	}
	blobs, err := client.Pull(ctx, ref.Function, ref.Digest)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d blobs stored, %d bytes of layers fetched\n", reference, len(blobs), client.FetchedBytes)
	return nil
}

// handlerVerifyContentCommand returns the command that verifies the blobs in a content folder, unlike handler verify, which
// checks a manifest against the registry.
func handlerVerifyContentCommand(name string) *cobra.Command {
	var dir string
	var minAge time.Duration
	cmd := &cobra.Command{
		Use:   name,
		Short: "Verify the digests in a content folder; corrupt blobs are removed, and the next pull fetches them again",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return verifyContent(dir, minAge)
		},
	}
	cmd.Flags().StringVar(&dir, "folder", contentFolder, "content folder of handler pull")
	cmd.Flags().DurationVar(&minAge, "every", 0, "skip blobs that were written or verified within this time")
	return cmd
}

func verifyContent(dir string, minAge time.Duration) error {
	// verifiedMargin, in seconds, is added to the minimum age so that no blob is verified twice in this run.
	const verifiedMargin = 1e-3
	if _, err := os.Stat(dir); err != nil {
		return err
	}
	folder, err := oci.OpenFolder(dir, math.MaxInt64)
	if err != nil {
		return err
	}
	verified, corrupt := 0, 0
	for start := time.Now(); ; verified++ {
		digest, ok := folder.VerifyOldest(max(minAge.Seconds(), time.Since(start).Seconds()+verifiedMargin))
		if digest == "" {
			break
		}
		if !ok {
			corrupt++
			fmt.Printf("%s: corrupt, removed\n", digest)
		}
	}
	fmt.Printf("%d blobs verified, %d corrupt\n", verified, corrupt)
	if corrupt > 0 {
		return fmt.Errorf("%d corrupt blobs", corrupt)
	}
	return nil
}
