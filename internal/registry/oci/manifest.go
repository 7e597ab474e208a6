package oci

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/opencontainers/go-digest"
	ocispec "github.com/opencontainers/image-spec/specs-go/v1"
	"oras.land/oras-go/v2/registry/remote"

	"streamcleat/internal/registry"
)

// Manifest annotations that describe a version.
const (
	concurrencyAnnotation = "org.streamcleat.lanes"
	memoryAnnotation      = "org.streamcleat.memory-mb"
	loadTimeAnnotation    = "org.streamcleat.load-seconds"
	classesAnnotation     = "org.streamcleat.event-types"
)

// AnnotationError reports an invalid value of a manifest annotation.
type AnnotationError struct {
	Annotation string
	Value      string
	Expected   string
}

// Error returns the annotation, its value and the expected kind of value.
func (e *AnnotationError) Error() string {
	return fmt.Sprintf("annotation %s: %q is not %s", e.Annotation, e.Value, e.Expected)
}

// Resolve returns the version that a tag currently refers to. It fetches the manifest by the digest that the tag resolved
// to, so that the result can't mix two versions if the tag is moved concurrently.
func (c *Client) Resolve(ctx context.Context, function, tag string) (registry.Version, error) {
	version, err := c.resolve(ctx, function, tag)
	if err != nil {
		return registry.Version{}, fmt.Errorf("%s:%s: %w", function, tag, err)
	}
	return version, nil
}

func (c *Client) resolve(ctx context.Context, function, tag string) (registry.Version, error) {
	repository, err := c.repository(function)
	if err != nil {
		return registry.Version{}, err
	}
	descriptor, err := repository.Resolve(ctx, tag)
	if err != nil {
		return registry.Version{}, err
	}
	manifest, err := c.manifest(ctx, repository, descriptor.Digest)
	if err != nil {
		return registry.Version{}, err
	}
	version := registry.Version{Function: function, Name: tag, Digest: descriptor.Digest}
	err = readAnnotations(&version, manifest.Annotations)
	return version, err
}

// readAnnotations sets the fields of a version from the annotations of its manifest.
func readAnnotations(version *registry.Version, annotations map[string]string) (err error) {
	if name := annotations[ocispec.AnnotationVersion]; name != "" {
		version.Name = name
	}
	if classes := annotations[classesAnnotation]; classes != "" {
		version.Classes = strings.Split(classes, ",")
	}
	if version.MemoryMB, err = readNumber(annotations, memoryAnnotation); err != nil {
		return err
	}
	if version.LoadTime, err = readNumber(annotations, loadTimeAnnotation); err != nil {
		return err
	}
	if text := annotations[concurrencyAnnotation]; text != "" {
		if version.Concurrency, err = strconv.Atoi(text); err != nil || version.Concurrency < 1 {
			return &AnnotationError{Annotation: concurrencyAnnotation, Value: text, Expected: "a positive integer"}
		}
	}
	return nil
}

// readNumber returns the value of a numeric annotation, or 0 if the annotation is missing.
func readNumber(annotations map[string]string, name string) (float64, error) {
	text := annotations[name]
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 {
		return 0, &AnnotationError{Annotation: name, Value: text, Expected: "a non-negative number"}
	}
	return value, nil
}

// manifest returns the manifest with the given digest, from the folder if it is cached.
func (c *Client) manifest(ctx context.Context, repository *remote.Repository, d digest.Digest) (m ocispec.Manifest, err error) {
	data, cached := c.folder.Get(d)
	if !cached {
		if data, err = c.fetchManifest(ctx, repository, d); err != nil {
			return m, err
		}
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("manifest %s: %w", d, err)
	}
	return m, nil
}

// fetchManifest fetches a manifest and stores it in the folder.
func (c *Client) fetchManifest(ctx context.Context, repository *remote.Repository, d digest.Digest) ([]byte, error) {
	descriptor, err := repository.Resolve(ctx, d.String())
	if err != nil {
		return nil, err
	}
	if descriptor.Size > maxManifestBytes {
		return nil, fmt.Errorf("manifest of %d bytes exceeds the limit of %d", descriptor.Size, maxManifestBytes)
	}
	descriptor.Digest = d
	data, err := c.fetch(ctx, repository, descriptor)
	if err != nil {
		return nil, fmt.Errorf("manifest %s: %w", d, err)
	}
	return data, c.folder.Put(d, data)
}
