package oci

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"
	ocispec "github.com/opencontainers/image-spec/specs-go/v1"
	"oras.land/oras-go/v2/content"
	"oras.land/oras-go/v2/registry/remote"
	"oras.land/oras-go/v2/registry/remote/auth"
	"oras.land/oras-go/v2/registry/remote/retry"

	"streamcleat/internal/registry/signing"
)

// Retries and timeout of a single HTTP request.
const (
	minRetryWait   = 50 * time.Millisecond
	maxRetryWait   = 2 * time.Second
	maxRetries     = 4
	requestTimeout = 30 * time.Second
)

// Limits on reading manifests, layers and signatures.
const (
	maxReadAttempts    = 4 // when content is truncated or corrupt
	readBackoffInitial = 20 * time.Millisecond
	maxManifestBytes   = 4 << 20
	maxSignatures      = 32 // read per version
	maxSignatureBytes  = 64 << 10
)

// Client reads versions of functions from a registry and caches their content in a folder. It is not safe for concurrent use.
type Client struct {
	FetchedBytes int64 // total size of the layers fetched from the registry

	host      string
	plainHTTP bool
	prefix    string // prepended to repository names
	folder    *Folder
	http      *http.Client
	user      string
	secret    string
}

// NewClient returns a client of the registry at base, an http or https URL. The path of the URL is prepended to repository
// names. user and secret are the credentials, empty for anonymous access.
func NewClient(base, user, secret string, folder *Folder) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("invalid registry URL %q: must be http://host or https://host", base)
	}
	c := &Client{
		host:      u.Host,
		plainHTTP: u.Scheme == "http",
		prefix:    strings.Trim(u.Path, "/"),
		folder:    folder,
		user:      user,
		secret:    secret,
	}
	c.setTransport(http.DefaultTransport)
	return c, nil
}

// setTransport sets the transport for requests. Failed requests are retried with exponential backoff.
func (c *Client) setTransport(base http.RoundTripper) {
	transport := retry.NewTransport(base)
	transport.Policy = func() retry.Policy {
		return &retry.GenericPolicy{
			Retryable: retry.DefaultPredicate,
			Backoff:   retry.DefaultBackoff,
			MinWait:   minRetryWait,
			MaxWait:   maxRetryWait,
			MaxRetry:  maxRetries,
		}
	}
	c.http = &http.Client{Transport: transport, Timeout: requestTimeout}
}

func (c *Client) repository(function string) (*remote.Repository, error) {
	name := function
	if c.prefix != "" {
		name = c.prefix + "/" + function
	}
	repository, err := remote.NewRepository(c.host + "/" + name)
	if err != nil {
		return nil, fmt.Errorf("function %q is not a valid repository name: %w", function, err)
	}
	repository.PlainHTTP = c.plainHTTP
	repository.ManifestMediaTypes = []string{ocispec.MediaTypeImageManifest}
	repository.Client = &auth.Client{
		Client:     c.http,
		Cache:      auth.NewCache(),
		Credential: auth.StaticCredential(c.host, auth.Credential{Username: c.user, Password: c.secret}),
	}
	return repository, nil
}

// fetcher opens the manifests or the blobs of a repository.
type fetcher interface {
	Fetch(ctx context.Context, target ocispec.Descriptor) (io.ReadCloser, error)
}

// fetch reads content and verifies its size and digest. It makes up to maxReadAttempts attempts, with exponential backoff,
// because the retries of the transport do not cover truncated or corrupt content.
func (c *Client) fetch(ctx context.Context, source fetcher, target ocispec.Descriptor) ([]byte, error) {
	var lastErr error
	for attempt := range maxReadAttempts {
		data, err := fetchOnce(ctx, source, target)
		if err == nil {
			return data, nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		case <-time.After(readBackoffInitial << attempt):
		}
	}
	return nil, lastErr
}

func fetchOnce(ctx context.Context, source fetcher, target ocispec.Descriptor) ([]byte, error) {
	r, err := source.Fetch(ctx, target)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }() // ReadAll has verified the digest
	return content.ReadAll(r, target)
}

// Pull fetches the manifest, config and layers of a version into the folder, except those that are already cached. It
// returns their digests, starting with the manifest.
func (c *Client) Pull(ctx context.Context, function string, d digest.Digest) ([]digest.Digest, error) {
	repository, err := c.repository(function)
	if err != nil {
		return nil, err
	}
	manifest, err := c.manifest(ctx, repository, d)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", function, err)
	}
	cached := []digest.Digest{d}
	for _, layer := range append([]ocispec.Descriptor{manifest.Config}, manifest.Layers...) {
		if _, ok := c.folder.Get(layer.Digest); !ok {
			if err := c.pullLayer(ctx, repository, function, layer); err != nil {
				return cached, err
			}
		}
		cached = append(cached, layer.Digest)
	}
	return cached, nil
}

// pullLayer fetches a layer and stores it in the folder.
func (c *Client) pullLayer(ctx context.Context, repository *remote.Repository, function string, layer ocispec.Descriptor) error {
	data, err := c.fetch(ctx, repository.Blobs(), layer)
	if err != nil {
		return fmt.Errorf("%s: layer %s: %w", function, layer.Digest, err)
	}
	c.FetchedBytes += int64(len(data))
	return c.folder.Put(layer.Digest, data)
}

// Signatures returns the signature envelopes attached to a version, which it finds with the referrers API of the registry.
// It skips the remaining referrers once it has maxSignatures envelopes. The result is empty if there are no referrers.
func (c *Client) Signatures(ctx context.Context, function string, d digest.Digest) ([][]byte, error) {
	repository, err := c.repository(function)
	if err != nil {
		return nil, err
	}
	subject, err := repository.Resolve(ctx, d.String())
	if err != nil {
		return nil, fmt.Errorf("%s@%s: %w", function, d, err)
	}
	var envelopes [][]byte
	err = repository.Referrers(ctx, subject, signing.PayloadType, func(referrers []ocispec.Descriptor) error {
		for _, referrer := range referrers {
			if len(envelopes) >= maxSignatures {
				return nil
			}
			found, err := c.envelopes(ctx, repository, referrer.Digest)
			envelopes = append(envelopes, found...)
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%s@%s: referrers: %w", function, d, err)
	}
	return envelopes, nil
}

// envelopes returns the signature envelopes among the layers of a referrer. It skips layers above maxSignatureBytes.
func (c *Client) envelopes(ctx context.Context, repository *remote.Repository, referrer digest.Digest) ([][]byte, error) {
	manifest, err := c.manifest(ctx, repository, referrer)
	if err != nil {
		return nil, err
	}
	var envelopes [][]byte
	for _, layer := range manifest.Layers {
		if layer.MediaType != signing.EnvelopeType || layer.Size > maxSignatureBytes {
			continue
		}
		envelope, err := c.fetch(ctx, repository.Blobs(), layer)
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, envelope)
	}
	return envelopes, nil
}
