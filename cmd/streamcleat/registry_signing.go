package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/opencontainers/go-digest"
	"github.com/spf13/cobra"

	"streamcleat/internal/registry/signing"
)

const keyFileSuffix = ".pem"

// handlerSignCommand returns the command that writes a DSSE envelope with a signature of a version.
func handlerSignCommand() *cobra.Command {
	var keyFile, id, output string
	cmd := &cobra.Command{Use: "sign FUNCTION:VERSION", Short: "Sign a version with a key", Args: cobra.ExactArgs(1)}
	manifestDigest := manifestFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&keyFile, "key", "", "file with the private key, PEM")
	flags.StringVar(&id, "id", "", "id of the key in the ring; by default the name of its file without .pem")
	flags.StringVarP(&output, "output", "o", "", "file for the envelope, DSSE JSON; standard output by default")
	requireFlags(cmd, "key")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		function, version, err := splitVersion(args[0])
		if err != nil {
			return err
		}
		manifest, err := manifestDigest()
		if err != nil {
			return err
		}
		envelope, err := signVersion(keyFile, id, function, version, manifest)
		if err != nil {
			return err
		}
		if output == "" {
			fmt.Println(string(envelope))
			return nil
		}
		return renameio.WriteFile(output, envelope, 0o644)
	}
	return cmd
}

func signVersion(keyFile, id, function, version string, manifest digest.Digest) ([]byte, error) {
	private, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id = strings.TrimSuffix(filepath.Base(keyFile), keyFileSuffix)
	}
	envelope, err := signing.Sign(id, private, function, version, manifest)
	if err != nil {
		return nil, usageError(err)
	}
	return envelope, nil
}

// handlerKeyCommand returns the command that creates a key pair: the private key in a file, the public key on standard output.
func handlerKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key ID",
		Short: "Create a key pair: the private key in ID.pem, the public key as a ring on standard output",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return createKeyPair(args[0])
		},
	}
}

func createKeyPair(id string) error {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := rand.Read(seed); err != nil {
		return err
	}
	private, key, err := signing.NewKey(id, seed)
	if err != nil {
		return usageError(err)
	}
	if err := writeNewFile(id+keyFileSuffix, private); err != nil {
		return err
	}
	return indentedJSON().Encode(signing.Ring{Threshold: 1, Keys: []signing.Key{key}})
}

// writeNewFile creates a file that only its owner can read or write. It fails if the file exists.
func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
