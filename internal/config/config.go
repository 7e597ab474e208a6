package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed default.json
var defaultDocument []byte

// Config is the configuration document. Times are in seconds. The JSON names of some members differ from the field names;
// they stay as they are, so that existing documents remain valid.
type Config struct {
	Name           string            `json:"name"`
	Listen         []string          `json:"listen"`
	Peers          *Peers            `json:"peers"` // nil: there are no front ends in other processes
	Workers        Workers           `json:"workers"`
	RequestClasses []RequestClass    `json:"event_types"`
	Functions      []FunctionPattern `json:"functions"`
	Tenants        []Tenant          `json:"tenants"`
	Rules          Rules             `json:"rules"`
	Limits         Limits            `json:"limits"`
	Schedules      *Schedules        `json:"timers"`   // nil: no schedules
	Registry       *Registry         `json:"handlers"` // nil: function versions need no signature
	Log            Log               `json:"log"`
	State          *State            `json:"state"`         // nil: no durable state
	Console        *Console          `json:"console"`       // nil: no console
	Metrics        *Metrics          `json:"metrics"`       // nil: metrics are served on the console's socket only
	Traces         *Traces           `json:"traces"`        // nil: no traces
	DrainTime      float64           `json:"stop_within_s"` // time that open requests may take during a drain

	dir      string // folder that relative paths are resolved against
	document []byte // text that the configuration was parsed from
}

// Peers configures gossip between front ends.
type Peers struct {
	Listen    []string `json:"listen"`     // UDP addresses, one for each entry of Config.Listen
	Others    []string `json:"others"`     // UDP addresses of front ends in other processes
	FrontEnds int      `json:"front_ends"` // number of front ends, including those of this process
	Cluster   string   `json:"cluster"`    // front ends accept gossip of the same cluster only
}

// Workers configures the endpoint list, the connections to workers and replica loading.
type Workers struct {
	File                string  `json:"file"` // path of the endpoint list, in Prometheus file service discovery format
	DialTimeout         float64 `json:"dial_s"`
	IdleTimeout         float64 `json:"idle_s"`
	MaxConnections      int     `json:"connections"`   // to one worker
	LoadsOnRequest      bool    `json:"load_on_event"` // a request to a worker without a replica loads one
	LoadCommands        bool    `json:"load_orders"`   // load commands may be sent
	LoadTimeout         float64 `json:"order_limit_s"` // timeout of a load command
	IdleReplicaLifetime float64 `json:"keep_warm_s"`   // minimum time that workers keep an idle replica
}

// RequestClass configures a class of requests, identified by a CloudEvents type.
type RequestClass struct {
	Name                string  `json:"name"`
	LatencyObjective    float64 `json:"target_time_s"`
	Timeout             float64 `json:"max_age_s"`
	Semantics           string  `json:"repeat"`       // key of deliverySemantics
	DeduplicationScope  string  `json:"reach"`        // key of deduplicationScopes
	DeduplicationWindow float64 `json:"remembered_s"` // how long workers recognize an idempotency key
}

// FunctionPattern is the profile of all functions whose names match a pattern.
type FunctionPattern struct {
	Pattern     string  `json:"match"`     // as of path.Match
	Concurrency int     `json:"lanes"`     // requests that one replica serves concurrently
	MemoryMB    float64 `json:"memory_mb"` // memory of one replica
	LoadTime    float64 `json:"load_s"`    // expected duration of a replica load
}

// Tenant is a tenant with its quota.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota"` // requests per second across all front ends
}

// Rules configures the routing decisions.
type Rules struct {
	MaxAttempts             int     `json:"launches"`      // per request
	MaxRetryAfter           float64 `json:"max_pause_s"`   // maximum Retry-After of a rejection
	InitialCapacityFraction float64 `json:"cold_share"`    // fraction of its capacity that a worker has when it starts
	WarmUpTime              float64 `json:"warm_within_s"` // time from a worker's start until it has full capacity
	OverloadFactor          float64 `json:"fall_multiple"` // multiple of its capacity that a warming worker tolerates
	OverloadWindow          float64 `json:"fall_window_s"` // window over which OverloadFactor applies
	LoadCommandWindow       float64 `json:"load_window_s"` // window of the load command quota; 0 for no quota
	LoadCommandAllowance    float64 `json:"load_free"`     // load commands allowed in each window
	LoadCommandsPerRequest  float64 `json:"load_share"`    // load commands allowed in addition for each request in the window
}

// Limits configures the limits for clients, requests and deduplication.
type Limits struct {
	MaxHeadBytes        int     `json:"head_bytes"`
	MaxBodyBytes        int     `json:"body_bytes"`
	MaxPipelined        int     `json:"pipeline"`  // pending requests per connection
	ReadTimeout         float64 `json:"arrival_s"` // from the first byte of a request until it is complete
	IdleTimeout         float64 `json:"idle_s"`
	MaxConnections      int     `json:"connections"`
	MaxOpenRequests     int     `json:"open_events"`
	MaxUnreadBytes      int     `json:"unread_bytes"`    // bytes of responses that a client may leave unread
	ResponseMargin      float64 `json:"answer_margin_s"` // how long before the client's deadline the response is sent at the latest
	DeduplicationWindow float64 `json:"remember_s"`      // how long final responses are cached for retries
	MaxCachedBytes      int     `json:"remember_bytes"`  // maximum total size of cached response bodies
}

// Schedules configures the appliance's own schedules.
type Schedules struct {
	Crontab string `json:"crontab"`
	Source  string `json:"source"` // CloudEvents source of scheduled requests
}

// Registry configures the function registry.
type Registry struct {
	Keys string `json:"keys"` // path of the keyring that function versions must be signed with
}

// Log configures the log.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"form"`
}

// State configures the durable state.
type State struct {
	Dir string `json:"dir"` // path of the state folder
}

// Console configures the Unix socket of the admin API.
type Console struct {
	Socket string `json:"socket"`
	Mode   string `json:"mode"` // permissions of the socket, in octal
}

// Metrics configures the HTTP server for metrics.
type Metrics struct {
	Address string `json:"listen"`
}

// Traces configures the trace exporter.
type Traces struct {
	File          string  `json:"file"`
	SamplingRatio float64 `json:"share"` // fraction of requests that are traced
}

// Document returns the text of the configuration document.
func (c *Config) Document() []byte { return c.document }

// Path resolves a path of the document. Relative paths are relative to the folder of the document.
func (c *Config) Path(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.dir, path)
}

// Default returns the embedded default configuration.
func Default() *Config {
	c, err := Parse(defaultDocument, ".")
	if err != nil {
		panic("invalid embedded configuration: " + err.Error())
	}
	return c
}

// Load reads a document from a file. Relative paths in it are relative to the folder of the file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return Parse(data, filepath.Dir(file))
}

// Parse reads a document. Relative paths in it are relative to dir. If the document has invalid values, the error is of
// type ValidationErrors and contains all of them.
func Parse(data []byte, dir string) (*Config, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, syntaxError(data, err)
	}
	if err := validate(document); err != nil {
		return nil, err
	}
	c := defaults()
	c.dir, c.document = dir, data
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	if invalid := c.check(); len(invalid) > 0 {
		return nil, invalid
	}
	return c, nil
}

// syntaxError returns the error for a document that is not valid JSON. It states the line if the decoder reports an offset.
func syntaxError(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return fmt.Errorf("configuration: invalid JSON: %w", err)
	}
	line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
	return fmt.Errorf("configuration: line %d: %w", line, err)
}

// defaults returns a Config with the default values of optional members. Decoding a document into it overrides them.
func defaults() *Config {
	return &Config{
		Name:      "streamcleat",
		Listen:    []string{"127.0.0.1:8080"},
		DrainTime: 5,
		Workers:   Workers{DialTimeout: 0.25, IdleTimeout: 30, MaxConnections: 1024, LoadCommands: true, LoadTimeout: 10, IdleReplicaLifetime: 8},
		Rules: Rules{
			MaxAttempts:             4,
			MaxRetryAfter:           0.5,
			InitialCapacityFraction: 0.25,
			WarmUpTime:              16,
			OverloadFactor:          2.5,
			OverloadWindow:          1.5,
		},
		Limits: Limits{
			MaxHeadBytes:        16 << 10,
			MaxBodyBytes:        1 << 20,
			MaxPipelined:        64,
			ReadTimeout:         10,
			IdleTimeout:         60,
			MaxConnections:      10000,
			MaxOpenRequests:     20000,
			MaxUnreadBytes:      4 << 20,
			ResponseMargin:      0.05,
			DeduplicationWindow: 600,
			MaxCachedBytes:      64 << 20,
		},
		Log: Log{Level: "info", Format: "text"},
	}
}
