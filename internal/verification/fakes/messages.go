package fakes

// Messages of the Open Inference Protocol, as workers send and take them. Fields stand in the order of their keys.

// EmptyMessage is a response without content.
type EmptyMessage struct{}

// ErrorMessage is the response to a request that failed.
type ErrorMessage struct {
	Error string `json:"error"`
}

// InferResponse is the response to a request that ran.
type InferResponse struct {
	ID         string           `json:"id"`
	ModelName  string           `json:"model_name"`
	Outputs    []struct{}       `json:"outputs"`
	Parameters *InferParameters `json:"parameters,omitempty"`
}

// InferParameters are what a worker reports of a request that ran.
type InferParameters struct {
	Bytes  int  `json:"bytes,omitempty"`  // of the request's body
	Repeat bool `json:"repeat,omitempty"` // the request had run before and was not run again
}

// LoadRequest is a load command.
type LoadRequest struct {
	Parameters struct {
		Copies int    `json:"copies"`
		Digest string `json:"digest"`
	} `json:"parameters"`
}

// LoadResponse is the response to a load command.
type LoadResponse struct {
	Parameters LoadParameters `json:"parameters"`
}

// LoadParameters are how many replicas are ready.
type LoadParameters struct {
	Copies int `json:"copies"`
}

// How a request found its function, as the header Server-Timing names it.
const (
	StartWarm       = "warm"
	StartJoined     = "joined"      // waited for a load that another began
	StartLoad       = "load"        // began the load
	StartLoadFailed = "load-failed" // the load failed
)

type readyResponse struct {
	Ready bool `json:"ready"`
}

// States of a function in the index.
const (
	modelReady   = "READY"
	modelLoading = "LOADING"
)

type indexEntry struct {
	Name  string `json:"name"`
	State string `json:"state"`
}
