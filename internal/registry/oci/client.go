package oci

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"
	ocispec "github.com/opencontainers/image-spec/specs-go/v1"
	"oras.land/oras-go/v2/content"
	"oras.land/oras-go/v2/registry/remote"
	"oras.land/oras-go/v2/registry/remote/auth"
	"oras.land/oras-go/v2/registry/remote/retry"

	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
)

// Annotations of a manifest that carry what the front end needs to know.
const (
	annotateLanes  = "org.streamcleat.lanes"
	annotateMemory = "org.streamcleat.memory-mb"
	annotateLoad   = "org.streamcleat.load-seconds"
	annotateTypes  = "org.streamcleat.event-types"
)

const (
	manifestMost = 4 << 20 // bytes of a manifest
	layerTries   = 4       // reads of one layer that is cut off

	mostSignatures = 32       // that are read of one version
	signatureMost  = 64 << 10 // bytes of one
)

// Client reads versions from a registry.
type Client struct {
	host    string
	plain   bool
	prefix  string
	folder  *Folder
	http    *http.Client
	user    string
	secret  string
	Fetched int64 // bytes of layers that came over the network
}

// NewClient makes a client of a registry at http://host[/path] or https://. User and secret may be empty.
func NewClient(base, user, secret string, folder *Folder) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("registry %q is not http://host or https://host", base)
	}
	c := &Client{host: u.Host, plain: u.Scheme == "http", prefix: strings.Trim(u.Path, "/"), folder: folder, user: user, secret: secret}
	c.over(http.DefaultTransport.RoundTrip)
	return c, nil
}

// carrier is how requests travel.
type carrier func(*http.Request) (*http.Response, error)

func (f carrier) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (c *Client) over(by carrier) {
	t := retry.NewTransport(by)
	t.Policy = func() retry.Policy {
		return &retry.GenericPolicy{Retryable: retry.DefaultPredicate, Backoff: retry.DefaultBackoff, MinWait: 50 * time.Millisecond,
			MaxWait: 2 * time.Second, MaxRetry: 4}
	}
	c.http = &http.Client{Transport: t, Timeout: 30 * time.Second}
}

func (c *Client) repository(function string) (*remote.Repository, error) {
	name := function
	if c.prefix != "" {
		name = c.prefix + "/" + function
	}
	repo, err := remote.NewRepository(c.host + "/" + name)
	if err != nil {
		return nil, fmt.Errorf("function %q can't be a repository's name: %w", function, err)
	}
	repo.PlainHTTP = c.plain
	repo.ManifestMediaTypes = []string{ocispec.MediaTypeImageManifest}
	repo.Client = &auth.Client{Client: c.http, Cache: auth.NewCache(), Credential: auth.StaticCredential(c.host,
		auth.Credential{Username: c.user, Password: c.secret})}
	return repo, nil
}

// Resolve reads what a tag names now. The manifest is read by the digest that the tag resolved to, so that a tag that
// moves between the two reads gives one version or the other, never half of each.
func (c *Client) Resolve(ctx context.Context, function, tag string) (registry.Version, error) {
	fail := func(err error) (registry.Version, error) {
		return registry.Version{}, fmt.Errorf("%s:%s: %w", function, tag, err)
	}
	repo, err := c.repository(function)
	if err != nil {
		return fail(err)
	}
	desc, err := repo.Resolve(ctx, tag)
	if err != nil {
		return fail(err)
	}
	m, _, err := c.manifest(ctx, repo, desc.Digest)
	if err != nil {
		return fail(err)
	}
	v := registry.Version{Function: function, Name: tag, Digest: desc.Digest}
	if name := m.Annotations[ocispec.AnnotationVersion]; name != "" {
		v.Name = name
	}
	if t := m.Annotations[annotateTypes]; t != "" {
		v.Classes = strings.Split(t, ",")
	}
	for key, to := range map[string]*float64{annotateMemory: &v.MemoryMB, annotateLoad: &v.LoadTime} {
		if text := m.Annotations[key]; text != "" {
			if *to, err = strconv.ParseFloat(text, 64); err != nil || *to < 0 {
				return fail(fmt.Errorf("annotation %s: %q is not a number of 0 or more", key, text))
			}
		}
	}
	if text := m.Annotations[annotateLanes]; text != "" {
		if v.Concurrency, err = strconv.Atoi(text); err != nil || v.Concurrency < 1 {
			return fail(fmt.Errorf("annotation %s: %q is not a whole number above 0", annotateLanes, text))
		}
	}
	return v, nil
}

// manifest reads a manifest by digest, from the folder where it is there.
func (c *Client) manifest(ctx context.Context, repo *remote.Repository, d digest.Digest) (m ocispec.Manifest, data []byte, err error) {
	var held bool
	if data, held = c.folder.Get(d); !held {
		desc, err := repo.Resolve(ctx, d.String())
		if err != nil {
			return m, nil, err
		}
		if desc.Size > manifestMost {
			return m, nil, fmt.Errorf("manifest of %d bytes is over %d", desc.Size, manifestMost)
		}
		desc.Digest = d
		if data, err = c.read(ctx, func() ([]byte, error) {
			r, err := repo.Fetch(ctx, desc)
			if err != nil {
				return nil, err
			}
			defer r.Close()
			return content.ReadAll(r, desc)
		}); err != nil {
			return m, nil, fmt.Errorf("manifest %s: %w", d, err)
		}
		if err := c.folder.Put(d, data); err != nil {
			return m, nil, err
		}
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, nil, fmt.Errorf("manifest %s: %w", d, err)
	}
	return m, data, nil
}

// read tries again where content was cut off or wrong; errors that say no are final.
func (c *Client) read(ctx context.Context, once func() ([]byte, error)) (data []byte, err error) {
	for try := range layerTries {
		if data, err = once(); err == nil {
			return data, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		case <-time.After(time.Duration(1<<try) * 20 * time.Millisecond):
		}
	}
	return nil, err
}

// Signatures reads the envelopes that refer to a version, by the registry's list of referrers; none where it has no
// such list.
func (c *Client) Signatures(ctx context.Context, function string, d digest.Digest) (list [][]byte, err error) {
	repo, err := c.repository(function)
	if err != nil {
		return nil, err
	}
	subject, err := repo.Resolve(ctx, d.String())
	if err != nil {
		return nil, fmt.Errorf("%s@%s: %w", function, d, err)
	}
	err = repo.Referrers(ctx, subject, signing.PayloadType, func(found []ocispec.Descriptor) error {
		for _, ref := range found {
			if len(list) >= mostSignatures {
				return nil
			}
			m, _, err := c.manifest(ctx, repo, ref.Digest)
			if err != nil {
				return err
			}
			for _, l := range m.Layers {
				if l.MediaType != signing.EnvelopeType || l.Size > signatureMost {
					continue
				}
				data, err := c.read(ctx, func() ([]byte, error) {
					r, err := repo.Blobs().Fetch(ctx, l)
					if err != nil {
						return nil, err
					}
					defer r.Close()
					return content.ReadAll(r, l)
				})
				if err != nil {
					return err
				}
				list = append(list, data)
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%s@%s: referrers: %w", function, d, err)
	}
	return list, nil
}

// Pull fetches a version's layers into the folder; those that are there are not fetched again. It returns their
// digests, the manifest's first.
func (c *Client) Pull(ctx context.Context, function string, d digest.Digest) ([]digest.Digest, error) {
	repo, err := c.repository(function)
	if err != nil {
		return nil, err
	}
	m, _, err := c.manifest(ctx, repo, d)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", function, err)
	}
	held := []digest.Digest{d}
	for _, l := range append([]ocispec.Descriptor{m.Config}, m.Layers...) {
		if _, ok := c.folder.Get(l.Digest); !ok {
			data, err := c.read(ctx, func() ([]byte, error) {
				r, err := repo.Blobs().Fetch(ctx, l)
				if err != nil {
					return nil, err
				}
				defer r.Close()
				data, err := content.ReadAll(r, l) // checks size and digest
				c.Fetched += int64(len(data))
				return data, err
			})
			if err != nil {
				return held, fmt.Errorf("%s: layer %s: %w", function, l.Digest, err)
			}
			if err := c.folder.Put(l.Digest, data); err != nil {
				return held, err
			}
		}
		held = append(held, l.Digest)
	}
	return held, nil
}
