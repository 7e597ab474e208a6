package fakes

// Messages of the Open Inference Protocol. Fields stand in the order of their keys.

type emptyMessage struct{}

type errorMessage struct {
	Error string `json:"error"`
}

type inferResponse struct {
	ID         string           `json:"id"`
	ModelName  string           `json:"model_name"`
	Outputs    []struct{}       `json:"outputs"`
	Parameters *inferParameters `json:"parameters,omitempty"`
}

type inferParameters struct {
	Bytes  int  `json:"bytes,omitempty"`  // of the request's body
	Repeat bool `json:"repeat,omitempty"` // the request had run before and was not run again
}

type loadRequest struct {
	Parameters struct {
		Copies int    `json:"copies"`
		Digest string `json:"digest"`
	} `json:"parameters"`
}

type loadResponse struct {
	Parameters loadParameters `json:"parameters"`
}

type loadParameters struct {
	Copies int `json:"copies"`
}

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
