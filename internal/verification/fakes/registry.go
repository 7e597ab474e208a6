package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"

	"github.com/opencontainers/go-digest"
	ocispec "github.com/opencontainers/image-spec/specs-go/v1"
)

// Registry is a read-only OCI registry: it serves manifests by tag and digest, blobs and referrers, with basic
// authentication or bearer tokens. FailNext injects faults.
type Registry struct {
	server *httptest.Server
	user   string // empty: no authentication
	secret string

	mu        sync.Mutex
	tags      map[string]digest.Digest // by repository:tag
	blobs     map[digest.Digest][]byte
	referrers map[digest.Digest][]ocispec.Descriptor // by subject

	truncated  int // number of further responses with truncated content
	corrupted  int // number of further responses with corrupted content
	failing    int // number of further requests that fail with failStatus
	failStatus int

	tokenUses     int // number of requests for which a bearer token is valid; 0: basic authentication
	tokenUsesLeft int // of the latest token
	tokensIssued  int
}

// NewRegistry starts a registry. It requires clients to authenticate with user and secret, unless user is empty.
func NewRegistry(user, secret string) *Registry {
	r := &Registry{
		tags: map[string]digest.Digest{}, blobs: map[digest.Digest][]byte{},
		referrers: map[digest.Digest][]ocispec.Descriptor{}, user: user, secret: secret,
	}
	r.server = httptest.NewServer(r)
	return r
}

// URL returns the registry's base URL.
func (r *Registry) URL() string { return r.server.URL }

// Close shuts the registry down.
func (r *Registry) Close() { r.server.Close() }

// RequireTokens makes the registry issue bearer tokens, each of which is valid for a number of requests.
func (r *Registry) RequireTokens(uses int) {
	r.mu.Lock()
	r.tokenUses = uses
	r.mu.Unlock()
}

// TokensIssued returns the number of tokens issued so far.
func (r *Registry) TokensIssued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokensIssued
}

// Push adds a version with its layers, and sets tags to it.
func (r *Registry) Push(repository string, annotations map[string]string, layers [][]byte, tags ...string) digest.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := ocispec.Manifest{
		MediaType: ocispec.MediaTypeImageManifest, Config: r.addBlob(ocispec.MediaTypeImageConfig, []byte("{}")),
		Annotations: annotations,
	}
	for _, layer := range layers {
		m.Layers = append(m.Layers, r.addBlob(ocispec.MediaTypeImageLayer, layer))
	}
	d := r.addManifest(m).Digest
	for _, tag := range tags {
		r.tags[repository+":"+tag] = d
	}
	return d
}

// Attach adds an artifact of one layer that refers to a manifest.
func (r *Registry) Attach(subject digest.Digest, artifactType, layerType string, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blobs[ocispec.DescriptorEmptyJSON.Digest] = []byte("{}")
	d := r.addManifest(ocispec.Manifest{
		MediaType:    ocispec.MediaTypeImageManifest,
		ArtifactType: artifactType,
		Config:       ocispec.DescriptorEmptyJSON,
		Layers:       []ocispec.Descriptor{r.addBlob(layerType, data)},
		Subject: &ocispec.Descriptor{
			MediaType: ocispec.MediaTypeImageManifest, Digest: subject,
			Size: int64(len(r.blobs[subject])),
		},
	})
	d.ArtifactType = artifactType
	r.referrers[subject] = append(r.referrers[subject], d)
}

// Untag deletes a tag.
func (r *Registry) Untag(repository, tag string) {
	r.mu.Lock()
	delete(r.tags, repository+":"+tag)
	r.mu.Unlock()
}

// FailNext makes the next requests fail: truncated and corrupted are the numbers of responses with truncated and corrupted
// content, and failing is the number of requests that fail with status.
func (r *Registry) FailNext(truncated, corrupted, failing, status int) {
	r.mu.Lock()
	r.truncated, r.corrupted, r.failing, r.failStatus = truncated, corrupted, failing, status
	r.mu.Unlock()
}

func (r *Registry) addBlob(mediaType string, data []byte) ocispec.Descriptor {
	d := digest.FromBytes(data)
	r.blobs[d] = data
	return ocispec.Descriptor{MediaType: mediaType, Digest: d, Size: int64(len(data))}
}

func (r *Registry) addManifest(m ocispec.Manifest) ocispec.Descriptor {
	m.SchemaVersion = 2
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // encoding a manifest can't fail
	}
	return r.addBlob(m.MediaType, data)
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.authorize(w, req) {
		return
	}
	if r.failing > 0 {
		r.failing--
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(r.failStatus)
		return
	}
	path := strings.TrimPrefix(req.URL.Path, "/v2/")
	if path == "" {
		return
	}
	if _, subject, ok := strings.Cut(path, "/referrers/"); ok {
		r.serveReferrers(w, digest.Digest(subject))
		return
	}
	d, mediaType := r.resolve(path)
	if mediaType != "" {
		w.Header().Set("Content-Type", mediaType)
	}
	r.serveContent(w, req, d)
}

// authorize authenticates a request, by the Docker token scheme or by basic authentication. If it returns false, it has
// sent the response.
func (r *Registry) authorize(w http.ResponseWriter, req *http.Request) bool {
	user, secret, _ := req.BasicAuth()
	valid := user == r.user && secret == r.secret
	switch {
	case r.user == "" || r.tokenUses == 0 && valid:
		return true
	case r.tokenUses == 0:
		w.Header().Set("WWW-Authenticate", `Basic realm="registry"`)
	case req.URL.Path == "/token" && valid:
		r.tokensIssued++
		r.tokenUsesLeft = r.tokenUses
		_, _ = fmt.Fprintf(w, `{"token":"t%d"}`, r.tokensIssued) // the client may have closed the connection
		return false
	case req.Header.Get("Authorization") == fmt.Sprintf("Bearer t%d", r.tokensIssued) && r.tokenUsesLeft > 0:
		r.tokenUsesLeft--
		return true
	default:
		w.Header().Set("WWW-Authenticate",
			fmt.Sprintf(`Bearer realm="%s/token",service="registry",scope="repository:any:pull"`, r.server.URL))
	}
	w.WriteHeader(http.StatusUnauthorized)
	return false
}

// resolve returns the digest of the content at a path, and its media type.
func (r *Registry) resolve(path string) (d digest.Digest, mediaType string) {
	if repository, ref, ok := strings.Cut(path, "/manifests/"); ok {
		if d = r.tags[repository+":"+ref]; d == "" {
			d = digest.Digest(ref)
		}
		return d, ocispec.MediaTypeImageManifest
	}
	if _, ref, ok := strings.Cut(path, "/blobs/"); ok {
		return digest.Digest(ref), "application/octet-stream"
	}
	return "", ""
}

func (r *Registry) serveReferrers(w http.ResponseWriter, subject digest.Digest) {
	w.Header().Set("Content-Type", ocispec.MediaTypeImageIndex)
	index := ocispec.Index{MediaType: ocispec.MediaTypeImageIndex, Manifests: append([]ocispec.Descriptor{}, r.referrers[subject]...)}
	index.SchemaVersion = 2
	_ = json.NewEncoder(w).Encode(index) // the client may have closed the connection
}

func (r *Registry) serveContent(w http.ResponseWriter, req *http.Request, d digest.Digest) {
	data, known := r.blobs[d]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Docker-Content-Digest", string(d))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if req.Method == http.MethodHead {
		return
	}
	content, truncate := data, false
	switch {
	case r.truncated > 0 && len(data) > 1:
		r.truncated--
		content, truncate = data[:len(data)/2], true
	case r.corrupted > 0:
		r.corrupted--
		content = []byte(strings.Repeat("x", len(data)))
	}
	_, _ = w.Write(content) // the client may have closed the connection
	if truncate {
		panic(http.ErrAbortHandler)
	}
}
