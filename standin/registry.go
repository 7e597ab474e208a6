package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/opencontainers/go-digest"
	ocispec "github.com/opencontainers/image-spec/specs-go/v1"
)

// Registry is a stand-in registry of the OCI distribution specification, for reading: manifests by tag and digest,
// blobs, and a basic challenge. It goes wrong on order.
type Registry struct {
	mu     sync.Mutex
	server *httptest.Server
	tags   map[string]digest.Digest // repository:tag
	blobs  map[digest.Digest][]byte
	user   string
	secret string
	cut    int // answers of content that are cut off in the middle
	wrong  int // answers of content that hold something else
	fail   int // requests that are answered with a status
	status int
	Reads  int // requests for content
}

// NewRegistry starts one. Where user is not empty it asks for it.
func NewRegistry(user, secret string) *Registry {
	r := &Registry{tags: map[string]digest.Digest{}, blobs: map[digest.Digest][]byte{}, user: user, secret: secret}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	return r
}

// URL is where it listens.
func (r *Registry) URL() string { return r.server.URL }

// Close ends it.
func (r *Registry) Close() { r.server.Close() }

// Push adds a version with its layers and makes tags name it.
func (r *Registry) Push(repository string, annotations map[string]string, layers [][]byte, tags ...string) digest.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	add := func(media string, data []byte) ocispec.Descriptor {
		d := digest.FromBytes(data)
		r.blobs[d] = data
		return ocispec.Descriptor{MediaType: media, Digest: d, Size: int64(len(data))}
	}
	m := ocispec.Manifest{MediaType: ocispec.MediaTypeImageManifest, Config: add(ocispec.MediaTypeImageConfig, []byte("{}")), Annotations: annotations}
	m.SchemaVersion = 2
	for _, l := range layers {
		m.Layers = append(m.Layers, add(ocispec.MediaTypeImageLayer, l))
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	d := add(m.MediaType, data).Digest
	for _, t := range tags {
		r.tags[repository+":"+t] = d
	}
	return d
}

// Untag deletes a tag.
func (r *Registry) Untag(repository, tag string) {
	r.mu.Lock()
	delete(r.tags, repository+":"+tag)
	r.mu.Unlock()
}

// Break makes the next answers go wrong: content cut off, content that is something else, requests answered with a
// status.
func (r *Registry) Break(cut, wrong, fail, status int) {
	r.mu.Lock()
	r.cut, r.wrong, r.fail, r.status = cut, wrong, fail, status
	r.mu.Unlock()
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if user, secret, _ := req.BasicAuth(); r.user != "" && (user != r.user || secret != r.secret) {
		w.Header().Set("WWW-Authenticate", `Basic realm="registry"`)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.fail > 0 {
		r.fail--
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(r.status)
		return
	}
	path := strings.TrimPrefix(req.URL.Path, "/v2/")
	var d digest.Digest
	if repository, ref, ok := strings.Cut(path, "/manifests/"); ok {
		if d = r.tags[repository+":"+ref]; d == "" {
			d = digest.Digest(ref)
		}
		w.Header().Set("Content-Type", ocispec.MediaTypeImageManifest)
	} else if _, ref, ok := strings.Cut(path, "/blobs/"); ok {
		d = digest.Digest(ref)
		w.Header().Set("Content-Type", "application/octet-stream")
	} else if path == "" {
		return
	}
	data, ok := r.blobs[d]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Docker-Content-Digest", string(d))
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if req.Method == http.MethodHead {
		return
	}
	r.Reads++
	switch {
	case r.cut > 0 && len(data) > 1:
		r.cut--
		w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	case r.wrong > 0:
		r.wrong--
		w.Write([]byte(strings.Repeat("x", len(data))))
	default:
		w.Write(data)
	}
}
