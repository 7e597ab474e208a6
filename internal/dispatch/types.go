package dispatch

// WaiterID identifies one client request that waits for a response. The caller chooses it and never reuses it.
type WaiterID uint64

// Identity identifies a request across repeats: CloudEvents source and id (CloudEvents 1.0, 3.1.1).
type Identity struct{ Source, ID string }

// String is the identity as source#id.
func (i Identity) String() string { return i.Source + "#" + i.ID }

// Field is one header field of a request or a response.
type Field struct{ Name, Value string }

// Request is one request as the ingress decoded it.
type Request struct {
	Identity
	Class            string // request class
	Tenant           string
	Function         string
	Timeout          float64 // seconds that the client waits from when it sent the request; 0: the timeout of the request class
	QueueTime        float64 // seconds for which it may have lain unread
	Fields           []Field // for the worker: context attributes and the content type
	Body             []byte
	Retried          bool            // the client marks it as a retry
	StatedProfile    FunctionProfile // the function's profile as the request states it; used where its Concurrency isn't 0
	ExpectedWork     float64         // seconds of work that the client expects; 0: unknown
	RejectDuplicates bool            // reject it instead of joining it to an open request of the same identity
}

// Binding is the version of a function that a request runs on, resolved once when the request is admitted. The zero
// Binding means that the function has no versions.
type Binding struct {
	ID       string // the function's ID for routing: each version is a function of its own
	Version  string
	Digest   string
	Function string
}

// FunctionProfile is what is known of a function before its first request.
type FunctionProfile struct {
	Concurrency int     // requests that one replica runs at once
	MemoryMB    float64 // memory of one replica
	LoadTime    float64 // expected seconds of a load; 0: unknown
}
