package invariants

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Kind is what a record says happened.
type Kind string

// Kinds of records, as they stand in files.
const (
	RequestSent      Kind = "asked"    // a client sent a request; Wait is how long it waits
	ResponseReceived Kind = "answered" // the client got a response: Outcome
	ClientCancelled  Kind = "left"     // the client cancelled, or the script stopped its front end
	ConnectionLost   Kind = "lost"     // the client's connection closed without a response
	AttemptStarted   Kind = "launched" // an attempt reached a worker
	Executed         Kind = "ran"      // the request was executed there
	AttemptEnded     Kind = "ended"    // the worker's response left, or either side closed the connection
	LoadCommanded    Kind = "ordered"  // a load command reached a worker
	EndpointUpdated  Kind = "told"     // the endpoint list changed: EndpointState, StartedAt
	WorkerOverloaded Kind = "down"     // a cold worker failed under too much load
	WorkerStarted    Kind = "born"     // a worker process started cold
)

// Outcomes as the client saw them, as they stand in files.
const (
	Succeeded = "handled"
	Rejected  = "deferred"
	Failed    = "dead-lettered"
	Invalid   = "refused" // not accepted as a request: malformed, or not wanted
)

// Record is one thing that happened.
type Record struct {
	At            float64 `json:"at"` // seconds since the recording began
	Kind          Kind    `json:"kind"`
	FrontEnd      string  `json:"front,omitempty"` // front end
	Worker        string  `json:"worker,omitempty"`
	RequestID     string  `json:"event,omitempty"` // identity of the request
	Class         string  `json:"type,omitempty"`  // request class
	Function      string  `json:"function,omitempty"`
	CallID        uint64  `json:"call,omitempty"` // joins a request with its response, or an attempt with its end
	Timeout       float64 `json:"wait,omitempty"`
	Outcome       string  `json:"outcome,omitempty"`
	Status        int     `json:"status,omitempty"` // 0 where a connection closed without one
	EndpointState string  `json:"phase,omitempty"`  // of the worker in the endpoint list
	StartedAt     float64 `json:"born,omitempty"`   // start of the worker
	Replicas      int     `json:"copies,omitempty"` // replicas that a load command asks for
	Digest        string  `json:"digest,omitempty"` // of the version: asked for by an attempt, executed, or named to the client
}

// Write writes records as JSON lines.
func Write(w io.Writer, records []Record) error {
	buffer := bufio.NewWriter(w)
	enc := json.NewEncoder(buffer)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return buffer.Flush()
}

// Read reads records from JSON lines. Its errors name the record by its number, from 1.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	dec := json.NewDecoder(r)
	for {
		var record Record
		err := dec.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
