package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"

	"streamcleat/internal/deployment"
)

// Document is the configuration of a front end. It is read at start and on each reload.
type Document struct {
	Name             string
	Listen           string
	Seed             uint64
	MemoryMB         float64
	MaxDescriptors   int
	PeerListen       string
	Peers            []string // addresses of all front ends, by index
	PeerBroadcast    string
	DiscoveryAddress string
	Terms            *deployment.Settings
	Discovery        *Discovery // initialized with the endpoint list of the document
}

// documentJSON is the encoding of a Document. It is an alias of an unnamed type because encoding/json prints type names
// in errors shown to users.
type documentJSON = struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores          float64 `json:"cores"`
		MemoryMB       float64 `json:"memory_mb"`
		MaxDescriptors int     `json:"sockets"`
	} `json:"limits"`
	PeerListen       string          `json:"peer_listen"`
	Peers            []string        `json:"peers"`
	PeerBroadcast    string          `json:"peers_all"`
	DiscoveryAddress string          `json:"journal"`
	Snapshot         json.RawMessage `json:"known"`
	Terms            json.RawMessage `json:"settings"`
}

// FieldError is the error for an invalid field of a document.
type FieldError struct {
	Field string // path, as in limits/memory_mb
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

// Errors for document fields.
var (
	errMissing     = errors.New("missing")
	errNotPositive = errors.New("not above 0")
)

// ReadDocument parses and validates a configuration document. Its error joins a FieldError for each invalid field.
func ReadDocument(data []byte) (*Document, error) {
	var doc documentJSON
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}
	document := &Document{
		Name: doc.Name, Listen: doc.Listen, Seed: parseSeed(doc.Seed), MemoryMB: doc.Limits.MemoryMB,
		MaxDescriptors: doc.Limits.MaxDescriptors, PeerListen: doc.PeerListen, Peers: doc.Peers, PeerBroadcast: doc.PeerBroadcast,
		DiscoveryAddress: doc.DiscoveryAddress, Discovery: NewDiscovery(),
	}
	var errs fieldErrors
	errs.validateAddresses(&doc)
	errs.validateLimits(&doc)
	if len(doc.Terms) == 0 {
		errs.add("settings", errMissing)
	} else {
		terms, err := deployment.Read(doc.Terms)
		document.Terms = terms
		errs.add("settings", err)
	}
	if len(doc.Snapshot) == 0 {
		errs.add("known", errMissing)
	} else {
		errs.add("known", document.Discovery.ReadSnapshot(doc.Snapshot))
	}
	return document, errors.Join(errs...)
}

// parseSeed parses a hexadecimal seed. Any other text is hashed, so that different texts give different seeds.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// fieldErrors accumulates the FieldErrors of a document.
type fieldErrors []error

// add appends an error for a field unless it is nil.
func (f *fieldErrors) add(field string, err error) {
	if err != nil {
		*f = append(*f, &FieldError{Field: field, Err: err})
	}
}

// validateAddress appends an error if text is not an IP address with a port.
func (f *fieldErrors) validateAddress(field, text string) {
	_, err := netip.ParseAddrPort(text)
	f.add(field, err)
}

// validateAddresses appends an error for each invalid address of a document.
func (f *fieldErrors) validateAddresses(doc *documentJSON) {
	f.validateAddress("listen", doc.Listen)
	f.validateAddress("journal", doc.DiscoveryAddress)
	if doc.PeerListen != "" {
		f.validateAddress("peer_listen", doc.PeerListen)
	}
	for i, peer := range doc.Peers {
		f.validateAddress(fmt.Sprintf("peers/%d", i), peer)
	}
	if doc.PeerBroadcast != "" {
		f.validateAddress("peers_all", doc.PeerBroadcast)
	}
}

// validateLimits appends an error for each invalid limit of a document.
func (f *fieldErrors) validateLimits(doc *documentJSON) {
	if doc.Limits.MemoryMB <= 0 {
		f.add("limits/memory_mb", errNotPositive)
	}
	if doc.Limits.MaxDescriptors <= 0 {
		f.add("limits/sockets", errNotPositive)
	}
}
