package fakes

// Messages of the Open Inference Protocol. Their fields are in the order of the keys on the wire.

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
	Bytes  int  `json:"bytes,omitempty"`  // size of the request's body
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
	Copies int `json:"copies"` // number of ready replicas
}

// Values of the header Server-Timing: whether the function was loaded when the request arrived.
const (
	StartWarm       = "warm"
	StartJoined     = "joined"      // waited for a load that was already in progress
	StartLoad       = "load"        // started a load
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
