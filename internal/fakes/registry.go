package fakes

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
	refers map[digest.Digest][]ocispec.Descriptor // by subject
	user   string
	secret string
	cut    int // answers of content that are cut off in the middle
	wrong  int // answers of content that hold something else
	fail   int // requests that are answered with a status
	status int
	Reads  int // requests for content
	uses   int // requests that a bearer token is good for; 0: the registry asks for user and secret itself
	token  int // number of the newest one
	left   int
}

// Tokens makes the registry hand out bearer tokens, each of which expires after so many requests.
func (r *Registry) Tokens(uses int) {
	r.mu.Lock()
	r.uses = uses
	r.mu.Unlock()
}

// Issued is how many tokens were handed out.
func (r *Registry) Issued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.token
}

// allowed checks who asks, by the Docker token scheme or by a basic challenge.
func (r *Registry) allowed(w http.ResponseWriter, req *http.Request) bool {
	user, secret, _ := req.BasicAuth()
	known := user == r.user && secret == r.secret
	switch {
	case r.user == "" || r.uses == 0 && known:
		return true
	case r.uses == 0:
		w.Header().Set("WWW-Authenticate", `Basic realm="registry"`)
	case req.URL.Path == "/token" && known:
		r.token++
		r.left = r.uses
		fmt.Fprintf(w, `{"token":"t%d"}`, r.token)
		return false
	case req.Header.Get("Authorization") == fmt.Sprintf("Bearer t%d", r.token) && r.left > 0:
		r.left--
		return true
	default:
		w.Header().Set("WWW-Authenticate", fmt.Sprintf(`Bearer realm="%s/token",service="registry",scope="repository:any:pull"`, r.server.URL))
	}
	w.WriteHeader(http.StatusUnauthorized)
	return false
}

// NewRegistry starts one. Where user is not empty it asks for it.
func NewRegistry(user, secret string) *Registry {
	r := &Registry{tags: map[string]digest.Digest{}, blobs: map[digest.Digest][]byte{},
		refers: map[digest.Digest][]ocispec.Descriptor{}, user: user, secret: secret}
	r.server = httptest.NewServer(r)
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

// Attach adds an artifact of one layer that refers to a manifest.
func (r *Registry) Attach(subject digest.Digest, artifactType, layerType string, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	layer := digest.FromBytes(data)
	r.blobs[layer], r.blobs[ocispec.DescriptorEmptyJSON.Digest] = data, []byte("{}")
	m := ocispec.Manifest{MediaType: ocispec.MediaTypeImageManifest, ArtifactType: artifactType, Config: ocispec.DescriptorEmptyJSON,
		Layers:  []ocispec.Descriptor{{MediaType: layerType, Digest: layer, Size: int64(len(data))}},
		Subject: &ocispec.Descriptor{MediaType: ocispec.MediaTypeImageManifest, Digest: subject, Size: int64(len(r.blobs[subject]))}}
	m.SchemaVersion = 2
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	d := digest.FromBytes(text)
	r.blobs[d] = text
	r.refers[subject] = append(r.refers[subject], ocispec.Descriptor{MediaType: m.MediaType, ArtifactType: artifactType, Digest: d, Size: int64(len(text))})
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

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.allowed(w, req) {
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
	} else if _, ref, ok := strings.Cut(path, "/referrers/"); ok {
		w.Header().Set("Content-Type", ocispec.MediaTypeImageIndex)
		index := ocispec.Index{MediaType: ocispec.MediaTypeImageIndex, Manifests: append([]ocispec.Descriptor{}, r.refers[digest.Digest(ref)]...)}
		index.SchemaVersion = 2
		json.NewEncoder(w).Encode(index)
		return
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
