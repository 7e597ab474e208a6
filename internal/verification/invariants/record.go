package invariants

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records, as written to files. Older names are also read, see deprecatedKinds.
const (
	RequestSent      Kind = "request-sent"      // a client sent a request, and waits up to Timeout for the response
	ResponseReceived Kind = "response-received" // the client received a response; has Outcome
	ClientCancelled  Kind = "client-cancelled"  // the client cancelled, or the script stopped its front end
	ConnectionLost   Kind = "connection-lost"   // the client's connection closed without a response
	AttemptStarted   Kind = "attempt-started"   // an attempt reached a worker
	Executed         Kind = "executed"          // the worker executed the request
	AttemptEnded     Kind = "attempt-ended"     // the worker sent its response, or either side closed the connection
	LoadCommanded    Kind = "load-commanded"    // a load command reached a worker
	EndpointUpdated  Kind = "endpoint-updated"  // the endpoint list changed; has EndpointState, StartedAt
	WorkerOverloaded Kind = "worker-overloaded" // a cold worker failed under too much load
	WorkerStarted    Kind = "worker-started"    // a worker process started cold
)

// Outcomes of requests from the client's view, as written to files.
const (
	Succeeded = "handled"
	Rejected  = "deferred"
	Failed    = "dead-lettered"
	Invalid   = "refused" // not accepted as a request, for example because it is malformed
)

// Record is one observation at a client, a front end or a worker.
type Record struct {
	At            float64 `json:"at"` // seconds since the recording began
	Kind          Kind    `json:"kind"`
	FrontEnd      string  `json:"front,omitempty"`
	Worker        string  `json:"worker,omitempty"`
	RequestID     string  `json:"event,omitempty"`
	Class         string  `json:"type,omitempty"` // request class
	Function      string  `json:"function,omitempty"`
	CallID        uint64  `json:"call,omitempty"` // links a request to its response, or an attempt to its end
	Timeout       float64 `json:"wait,omitempty"` // seconds
	Outcome       string  `json:"outcome,omitempty"`
	Status        int     `json:"status,omitempty"`  // 0 if the connection closed without a response
	EndpointState string  `json:"phase,omitempty"`   // of the worker in the endpoint list
	NoticedAt     float64 `json:"noticed,omitempty"` // time from which an endpoint update counts as received, if before At
	StartedAt     float64 `json:"born,omitempty"`    // start of the worker
	Replicas      int     `json:"copies,omitempty"`  // replicas that a load command requests
	Digest        string  `json:"digest,omitempty"`  // of the version that an attempt requests, that was executed, or that a response names
}

// noticeTime returns the time from which an endpoint update counts as received.
func (r *Record) noticeTime() float64 {
	if r.NoticedAt > 0 {
		return min(r.NoticedAt, r.At)
	}
	return r.At
}

// Write writes records as JSON lines.
func Write(w io.Writer, records []Record) error {
	buffer := bufio.NewWriter(w)
	enc := json.NewEncoder(buffer)
	for i, r := range records {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("write record %d: %w", i+1, err)
		}
	}
	return buffer.Flush()
}

// Read reads records from JSON lines. Its errors contain the number of the record, starting at 1.
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
