package storage

// The types in this file define the encoding of the stored values. Their CBOR keys and the order of their fields are part
// of the stored format: changing either loses data unless stores are migrated. The types of package dispatch can change
// freely, because record_codec.go converts between them and these types. Only the numeric values of dispatch.RecordKind,
// dispatch.ResponseKind and dispatch.Cause are stored directly and must not change.

// storedRecord is the stored form of dispatch.Record: an open request that has had an attempt, or a request that
// has ended.
type storedRecord struct {
	Kind             uint8         `cbor:"1,keyasint"` // dispatch.RecordKind
	Source           string        `cbor:"2,keyasint"`
	ID               string        `cbor:"3,keyasint"`
	Class            string        `cbor:"4,keyasint"`
	Function         string        `cbor:"5,keyasint,omitempty"`
	Tenant           string        `cbor:"6,keyasint,omitempty"`
	ResponseKind     uint8         `cbor:"7,keyasint,omitempty"` // dispatch.ResponseKind
	Cause            uint8         `cbor:"8,keyasint,omitempty"` // dispatch.Cause
	RetryAfter       float64       `cbor:"9,keyasint,omitempty"`
	Worker           string        `cbor:"10,keyasint,omitempty"`
	Attempts         int           `cbor:"11,keyasint,omitempty"`
	Fields           []storedField `cbor:"12,keyasint,omitempty"`
	Body             []byte        `cbor:"13,keyasint,omitempty"`
	MayHaveExecuted  bool          `cbor:"14,keyasint,omitempty"`
	FirstExecutionAt Timestamp     `cbor:"15,keyasint"` // start of the first attempt that may have executed
	RecordedAt       Timestamp     `cbor:"16,keyasint"`
	Elapsed          float64       `cbor:"17,keyasint,omitempty"`
	Binding          storedBinding `cbor:"18,keyasint,omitempty"` // encoded even if zero, because the encoder never omits structs
}

// storedScheduledRequest is the stored form of ScheduledRequest.
type storedScheduledRequest struct {
	Request  storedRequest `cbor:"1,keyasint"`
	Due      int64         `cbor:"2,keyasint"` // Unix seconds; the minute for which the entry fired
	Deadline int64         `cbor:"3,keyasint"` // Unix seconds
}

// storedReplicaList is the list of the replicas known at RecordedAt. A nil list is stored as null.
type storedReplicaList struct {
	RecordedAt Timestamp       `cbor:"1,keyasint"`
	Replicas   []storedReplica `cbor:"2,keyasint"`
}

// storedField is the stored form of dispatch.Field.
type storedField struct {
	Name  string `cbor:"Name"`
	Value string `cbor:"Value"`
}

// storedBinding is the stored form of dispatch.Binding.
type storedBinding struct {
	ID       string `cbor:"ID"`
	Version  string `cbor:"Version"`
	Digest   string `cbor:"Digest"`
	Function string `cbor:"Function"`
}

// storedFunctionProfile is the stored form of dispatch.FunctionProfile.
type storedFunctionProfile struct {
	Concurrency int     `cbor:"Lanes"`
	MemoryMB    float64 `cbor:"Memory"`
	LoadTime    float64 `cbor:"Load"`
}

// storedRequest is the stored form of dispatch.Request, with the identity flattened into Source and ID.
type storedRequest struct {
	Source           string                `cbor:"Source"`
	ID               string                `cbor:"ID"`
	Class            string                `cbor:"Type"`
	Tenant           string                `cbor:"Tenant"`
	Function         string                `cbor:"Function"`
	Timeout          float64               `cbor:"Wait"`
	Fields           []storedField         `cbor:"Fields"` // null for a nil list
	Body             []byte                `cbor:"Body"`   // null for a nil body
	Retried          bool                  `cbor:"Repeated"`
	StatedProfile    storedFunctionProfile `cbor:"Stated"`
	ExpectedWork     float64               `cbor:"Work"`
	RejectDuplicates bool                  `cbor:"Alone"`
}

// storedReplica is the stored form of dispatch.ReplicaSnapshot.
type storedReplica struct {
	Function        string        `cbor:"Function"`
	Binding         storedBinding `cbor:"Binding"`
	Concurrency     int           `cbor:"Lanes"`
	LoadTime        float64       `cbor:"Load"`
	Worker          string        `cbor:"Worker"`
	WorkerStartedAt float64       `cbor:"Started"`
	Age             float64       `cbor:"Age"`
}
