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

// Config is the configuration document. Times are in seconds.
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
	State          *State            `json:"state"`   // nil: no durable state
	Console        *Console          `json:"console"` // nil: no console
	Metrics        *Metrics          `json:"metrics"` // nil: metrics are served on the console's socket only
	Traces         *Traces           `json:"traces"`  // nil: no traces
	DrainTime      float64           `json:"stop_within_s"`

	dir      string // base of relative paths
	document []byte // text of the document
}

// Peers configures gossip between front ends.
type Peers struct {
	Listen    []string `json:"listen"`     // UDP addresses, one for each entry of Config.Listen
	Others    []string `json:"others"`     // UDP addresses of front ends in other processes
	FrontEnds int      `json:"front_ends"` // number of front ends, including those of this process
	Cluster   string   `json:"cluster"`
}

// Workers configures the endpoint list, the connections to workers and replica loading.
type Workers struct {
	File                string  `json:"file"`
	DialTimeout         float64 `json:"dial_s"`
	IdleTimeout         float64 `json:"idle_s"`
	MaxConnections      int     `json:"connections"`
	LoadsOnRequest      bool    `json:"load_on_event"`
	LoadCommands        bool    `json:"load_orders"`
	LoadTimeout         float64 `json:"order_limit_s"`
	IdleReplicaLifetime float64 `json:"keep_warm_s"`
}

// RequestClass configures a class of requests, identified by a CloudEvents type.
type RequestClass struct {
	Name                string  `json:"name"`
	LatencyObjective    float64 `json:"target_time_s"`
	Timeout             float64 `json:"max_age_s"`
	Semantics           string  `json:"repeat"`
	DeduplicationScope  string  `json:"reach"`
	DeduplicationWindow float64 `json:"remembered_s"`
}

// FunctionPattern is the profile of all functions whose names match a pattern.
type FunctionPattern struct {
	Pattern     string  `json:"match"`
	Concurrency int     `json:"lanes"`
	MemoryMB    float64 `json:"memory_mb"`
	LoadTime    float64 `json:"load_s"`
}

// Tenant is a tenant with its quota.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota"`
}

// Rules configures the routing decisions.
type Rules struct {
	MaxAttempts             int     `json:"launches"`
	MaxRetryAfter           float64 `json:"max_pause_s"`
	InitialCapacityFraction float64 `json:"cold_share"`
	WarmUpTime              float64 `json:"warm_within_s"`
	OverloadFactor          float64 `json:"fall_multiple"`
	OverloadWindow          float64 `json:"fall_window_s"`
	LoadCommandWindow       float64 `json:"load_window_s"`
	LoadCommandAllowance    float64 `json:"load_free"`
	LoadCommandsPerRequest  float64 `json:"load_share"`
}

// Limits configures the limits for clients, requests and deduplication.
type Limits struct {
	MaxHeadBytes        int     `json:"head_bytes"`
	MaxBodyBytes        int     `json:"body_bytes"`
	MaxPipelined        int     `json:"pipeline"`
	ReadTimeout         float64 `json:"arrival_s"`
	IdleTimeout         float64 `json:"idle_s"`
	MaxConnections      int     `json:"connections"`
	MaxOpenRequests     int     `json:"open_events"`
	MaxUnreadBytes      int     `json:"unread_bytes"`
	ResponseMargin      float64 `json:"answer_margin_s"`
	DeduplicationWindow float64 `json:"remember_s"`
	MaxCachedBytes      int     `json:"remember_bytes"`
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

// syntaxError returns the error of a document that is not valid JSON, with the line if the decoder reports its offset.
func syntaxError(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return fmt.Errorf("configuration: invalid JSON: %w", err)
	}
	line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
	return fmt.Errorf("configuration: line %d: %w", line, err)
}

// defaults returns the values of members that are missing in a document.
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
