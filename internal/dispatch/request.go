package dispatch

import "streamcleat/internal/units"

// WaiterID identifies one client request that waits for a response. The caller chooses it and never reuses it.
type WaiterID uint64

// Identity identifies a request across retries: CloudEvents source and id (CloudEvents 1.0, 3.1.1), or the platform's request
// ID with an empty source. Two requests are the same if and only if their identities are equal, so a session whose protocol
// has several spellings of an ID passes on the canonical one.
type Identity struct{ Source, ID string }

// String returns the identity as source#id.
func (i Identity) String() string { return i.Source + "#" + i.ID }

// Field is one header field of a request or a response.
type Field struct{ Name, Value string }

// Request is a request as a client session decoded it.
type Request struct {
	Identity
	Class            string // request class
	Tenant           string
	Function         string
	Timeout          units.Seconds // seconds that the client waits, counted from when it sent the request; 0: the class's timeout
	QueueTime        units.Seconds // maximum seconds for which the request was buffered before it was read
	Fields           []Field       // for the worker: context attributes and the content type
	Body             []byte
	Retried          bool            // the client marked the request as a retry
	StatedProfile    FunctionProfile // overrides the configured profile unless its Concurrency is 0
	ExpectedWork     units.Seconds   // execution time that the client expects, in seconds; 0: unknown
	RejectDuplicates bool            // reject the request instead of joining it to an open one of the same identity
}

// Binding is the version of a function that a request runs on. It is resolved once, when the request is admitted. The
// zero Binding means that the function has no versions.
type Binding struct {
	ID       string // the function's ID for routing: each version is routed as a function of its own
	Version  string
	Digest   string
	Function string
}

// FunctionProfile holds the properties of a function that are known before its first request.
type FunctionProfile struct {
	Concurrency int           // maximum number of requests that one replica runs concurrently
	MemoryMB    float64       // memory of one replica
	LoadTime    units.Seconds // expected seconds to load a replica; 0: unknown
}
