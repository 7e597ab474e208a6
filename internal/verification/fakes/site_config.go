package fakes

import "encoding/json"

// Request classes of a fake site, by their delivery semantics.
const (
	ClassIdempotent      = "shop-event"
	ClassIdempotentByKey = "till-entry"
	ClassAtMostOnce      = "price-reset"
)

// RequestClasses returns all request classes. Their order is fixed, as the random choices of clients depend on it.
func RequestClasses() []string {
	return []string{ClassIdempotent, ClassIdempotentByKey, ClassAtMostOnce}
}

// MachineType returns the machine type and the speed of the worker with a number. Every third worker is slower.
func MachineType(number int) (string, float64) {
	if number%3 == 2 {
		return "eco", 0.7
	}
	return "std", 1
}

// ClassSemantics returns the delivery semantics of the request classes by their names, as invariants.Rules expects them.
func ClassSemantics() map[string]string {
	return map[string]string{ClassIdempotent: "redeliverable", ClassIdempotentByKey: "keyed", ClassAtMostOnce: "at-most-once"}
}

// SiteConfig is the configuration document of the front ends of a fake site, with the program's keys. Times are in seconds.
type SiteConfig struct {
	Name      string           `json:"name,omitempty"`
	Listen    []string         `json:"listen,omitempty"`
	Classes   []ClassConfig    `json:"event_types"`
	Functions []FunctionConfig `json:"functions"`
	Workers   WorkersConfig    `json:"workers"`
	Rules     RulesConfig      `json:"rules"`
	Limits    LimitsConfig     `json:"limits"`
}

// ClassConfig is a request class in a SiteConfig.
type ClassConfig struct {
	Name                string  `json:"name"`
	LatencyObjective    float64 `json:"target_time_s"`
	Timeout             float64 `json:"max_age_s"`
	Semantics           string  `json:"repeat,omitempty"`
	DeduplicationWindow float64 `json:"remembered_s,omitempty"`
}

// FunctionConfig is a function in a SiteConfig.
type FunctionConfig struct {
	Match       string  `json:"match"`
	Concurrency int     `json:"lanes"`
	MemoryMB    float64 `json:"memory_mb"`
	LoadTime    float64 `json:"load_s"`
}

// WorkersConfig is the configuration of connections to workers in a SiteConfig. Zero fields mean the program's defaults.
type WorkersConfig struct {
	IdleReplicaLifetime float64 `json:"keep_warm_s"`
	LoadsOnRequest      bool    `json:"load_on_event"`
	DialTimeout         float64 `json:"dial_s,omitempty"`
	IdleTimeout         float64 `json:"idle_s,omitempty"`
	LoadTimeout         float64 `json:"order_limit_s,omitempty"`
}

// RulesConfig has the limits of the routing rules in a SiteConfig.
type RulesConfig struct {
	InitialCapacityFraction float64 `json:"cold_share"`
	WarmUpTime              float64 `json:"warm_within_s"`
	OverloadFactor          float64 `json:"fall_multiple"`
	OverloadWindow          float64 `json:"fall_window_s"`
	MaxRetryAfter           float64 `json:"max_pause_s"`
	LoadWindow              float64 `json:"load_window_s"` // 0: load commands are not limited
	LoadBurst               float64 `json:"load_free"`
	LoadsPerRequest         float64 `json:"load_share"`
}

// LimitsConfig has the limits of clients in a SiteConfig. Zero fields mean the program's defaults.
type LimitsConfig struct {
	ResponseMargin    float64 `json:"answer_margin_s"`
	IdleTimeout       float64 `json:"idle_s,omitempty"`
	ResponseRetention float64 `json:"remember_s,omitempty"`
}

// ClassConfigs returns the request classes, all with the same latency objective and timeout. deduplicationWindow is the
// time for which workers drop duplicates of requests with an idempotency key.
func ClassConfigs(latencyObjective, timeout, deduplicationWindow float64) []ClassConfig {
	return []ClassConfig{
		{Name: ClassIdempotent, LatencyObjective: latencyObjective, Timeout: timeout},
		{
			Name: ClassIdempotentByKey, LatencyObjective: latencyObjective, Timeout: timeout, Semantics: "keyed",
			DeduplicationWindow: deduplicationWindow,
		},
		{Name: ClassAtMostOnce, LatencyObjective: latencyObjective, Timeout: timeout, Semantics: "at-most-once"},
	}
}

// FunctionConfigs returns the front ends' configuration of functions.
func FunctionConfigs(functions []Function) []FunctionConfig {
	var list []FunctionConfig
	for _, f := range functions {
		list = append(list, FunctionConfig{Match: f.Name, Concurrency: f.Concurrency, MemoryMB: f.MemoryMB, LoadTime: f.FetchTime + f.StartTime})
	}
	return list
}

// JSON encodes the document.
func (c *SiteConfig) JSON() ([]byte, error) { return json.Marshal(c) }
