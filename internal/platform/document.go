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

// Document is what one front end is told at its start and at each reload.
type Document struct {
	Name             string
	Listen           string
	Seed             uint64
	MemoryMB         float64
	MaxDescriptors   int
	PeerListen       string
	Peers            []string // one for each front end, by their numbers
	PeerBroadcast    string
	DiscoveryAddress string
	Terms            *deployment.Terms
	Discovery        *Discovery
}

// documentJSON is the document as it is encoded. It is an alias because errors of encoding/json show the name of a type
// to users.
type documentJSON = struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Journal    string          `json:"journal"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// FieldError is a fault of one field of a document.
type FieldError struct {
	Field string // path in the document, as in limits/memory_mb
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the fault itself.
func (e *FieldError) Unwrap() error { return e.Err }

// Faults of fields that must be there, and of limits.
var (
	errMissing     = errors.New("missing")
	errNotPositive = errors.New("not above 0")
)

// ReadDocument reads a configuration document; its error joins a FieldError for each field that is at fault.
func ReadDocument(data []byte) (*Document, error) {
	var doc documentJSON
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}
	document := &Document{
		Name: doc.Name, Listen: doc.Listen, Seed: parseSeed(doc.Seed), MemoryMB: doc.Limits.MemoryMB,
		MaxDescriptors: doc.Limits.Sockets, PeerListen: doc.PeerListen, Peers: doc.Peers, PeerBroadcast: doc.PeersAll,
		DiscoveryAddress: doc.Journal, Discovery: NewDiscovery(),
	}
	var faults fieldErrors
	faults.addAddresses(&doc)
	faults.addLimits(&doc)
	if len(doc.Settings) == 0 {
		faults.add("settings", errMissing)
	} else {
		terms, err := deployment.Read(doc.Settings)
		document.Terms = terms
		faults.add("settings", err)
	}
	if len(doc.Known) == 0 {
		faults.add("known", errMissing)
	} else {
		faults.add("known", document.Discovery.ReadSnapshot(doc.Known))
	}
	return document, errors.Join(faults...)
}

// parseSeed reads a hexadecimal seed. Any other text is hashed, so that different texts give different numbers.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash never fails
	return h.Sum64()
}

// fieldErrors collects the faults of a document in the order of its checks.
type fieldErrors []error

func (f *fieldErrors) add(field string, err error) {
	if err != nil {
		*f = append(*f, &FieldError{Field: field, Err: err})
	}
}

func (f *fieldErrors) addAddress(field, text string) {
	_, err := netip.ParseAddrPort(text)
	f.add(field, err)
}

func (f *fieldErrors) addAddresses(doc *documentJSON) {
	f.addAddress("listen", doc.Listen)
	f.addAddress("journal", doc.Journal)
	if doc.PeerListen != "" {
		f.addAddress("peer_listen", doc.PeerListen)
	}
	for i, peer := range doc.Peers {
		f.addAddress(fmt.Sprintf("peers/%d", i), peer)
	}
	if doc.PeersAll != "" {
		f.addAddress("peers_all", doc.PeersAll)
	}
}

func (f *fieldErrors) addLimits(doc *documentJSON) {
	if doc.Limits.MemoryMB <= 0 {
		f.add("limits/memory_mb", errNotPositive)
	}
	if doc.Limits.Sockets <= 0 {
		f.add("limits/sockets", errNotPositive)
	}
}
