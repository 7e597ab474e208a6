package fakes

// Messages of the Open Inference Protocol. Fields are in the order of their keys on the wire.

// EmptyMessage is a response without content.
type EmptyMessage struct{}

// ErrorMessage is the response to a request that failed.
type ErrorMessage struct {
	Error string `json:"error"`
}

// InferResponse is the response to a request that was executed.
type InferResponse struct {
	ID         string           `json:"id"`
	ModelName  string           `json:"model_name"`
	Outputs    []struct{}       `json:"outputs"`
	Parameters *InferParameters `json:"parameters,omitempty"`
}

// InferParameters are the parameters of an InferResponse.
type InferParameters struct {
	Bytes  int  `json:"bytes,omitempty"`  // of the request's body
	Repeat bool `json:"repeat,omitempty"` // the request was a duplicate and was not executed again
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

// LoadParameters are the parameters of a LoadResponse.
type LoadParameters struct {
	Copies int `json:"copies"` // ready replicas
}

// Values of the header Server-Timing: how a request found its function.
const (
	StartWarm       = "warm"
	StartJoined     = "joined"      // waited for a load that another request started
	StartLoad       = "load"        // started the load
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
