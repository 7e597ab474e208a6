// Package platform is what a front end of the utilities' platform is told: its configuration document, the numbered
// list of workers, and what signals ask of it. It has no socket and no clock. clients and backends, below it, have the
// protocol's frames; netloop carries the bytes; where an event runs is decided in control and nowhere here.
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
	Known            *Discovery
}

// ReadDocument reads a configuration document whole; an error names each field that is at fault.
func ReadDocument(data []byte) (*Document, error) {
	var doc struct {
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
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}
	m := &Document{Name: doc.Name, Listen: doc.Listen, MemoryMB: doc.Limits.MemoryMB, MaxDescriptors: doc.Limits.Sockets,
		PeerListen: doc.PeerListen, Peers: doc.Peers, PeerBroadcast: doc.PeersAll, DiscoveryAddress: doc.Journal, Known: NewDiscovery()}
	var faults []error
	fault := func(field string, err error) {
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", field, err))
		}
	}
	address := func(field, text string) {
		_, err := netip.ParseAddrPort(text)
		fault(field, err)
	}
	address("listen", doc.Listen)
	address("journal", doc.Journal)
	if doc.PeerListen != "" {
		address("peer_listen", doc.PeerListen)
	}
	for i, p := range doc.Peers {
		address(fmt.Sprintf("peers/%d", i), p)
	}
	if doc.PeersAll != "" {
		address("peers_all", doc.PeersAll)
	}
	var err error
	if m.Seed, err = strconv.ParseUint(doc.Seed, 16, 64); err != nil {
		// Any text will do for chance, as long as another one gives other numbers.
		h := fnv.New64a()
		h.Write([]byte(doc.Seed))
		m.Seed = h.Sum64()
	}
	if doc.Limits.MemoryMB <= 0 {
		fault("limits/memory_mb", errors.New("not above 0"))
	}
	if doc.Limits.Sockets <= 0 {
		fault("limits/sockets", errors.New("not above 0"))
	}
	if len(doc.Settings) == 0 {
		fault("settings", errors.New("missing"))
	} else {
		m.Terms, err = deployment.Read(doc.Settings)
		fault("settings", err)
	}
	if len(doc.Known) == 0 {
		fault("known", errors.New("missing"))
	} else {
		fault("known", m.Known.ReadSnapshot(doc.Known))
	}
	return m, errors.Join(faults...)
}
