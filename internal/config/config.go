// Package config reads the program's one configuration document: JSON, checked as a whole against the schema that
// is part of the binary before any of it acts.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	fronthttp "streamcleat/internal/ingress/http"
	"streamcleat/internal/upstream"
)

// Schema is the JSON Schema (2020-12) of the configuration.
//
//go:embed schema.json
var Schema []byte

//go:embed default.json
var embedded []byte

// Config is the document. Times are seconds.
type Config struct {
	Name   string   `json:"name"`
	Listen []string `json:"listen"`
	Peers  *struct {
		Listen    []string `json:"listen"`
		Others    []string `json:"others"`
		FrontEnds int      `json:"front_ends"`
		Cluster   string   `json:"cluster"`
	} `json:"peers"`
	Workers struct {
		File        string  `json:"file"`
		Dial        float64 `json:"dial_s"`
		Idle        float64 `json:"idle_s"`
		Connections int     `json:"connections"`
		LoadOnEvent bool    `json:"load_on_event"`
		LoadOrders  bool    `json:"load_orders"`
		OrderLimit  float64 `json:"order_limit_s"`
		KeepWarm    float64 `json:"keep_warm_s"`
	} `json:"workers"`
	RequestClasses []RequestClass `json:"event_types"`
	Functions      []struct {
		Match  string  `json:"match"`
		Lanes  int     `json:"lanes"`
		Memory float64 `json:"memory_mb"`
		Load   float64 `json:"load_s"`
	} `json:"functions"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota"`
	} `json:"tenants"`
	Rules struct {
		Launches   int     `json:"launches"`
		MaxPause   float64 `json:"max_pause_s"`
		ColdShare  float64 `json:"cold_share"`
		WarmWithin float64 `json:"warm_within_s"`
		FallFactor float64 `json:"fall_multiple"`
		FallWindow float64 `json:"fall_window_s"`
		LoadWindow float64 `json:"load_window_s"`
		LoadFree   float64 `json:"load_free"`
		LoadShare  float64 `json:"load_share"`
	} `json:"rules"`
	Limits struct {
		Head          int     `json:"head_bytes"`
		Body          int     `json:"body_bytes"`
		Pipeline      int     `json:"pipeline"`
		Arrival       float64 `json:"arrival_s"`
		Idle          float64 `json:"idle_s"`
		Connections   int     `json:"connections"`
		Open          int     `json:"open_events"`
		Unread        int     `json:"unread_bytes"`
		Margin        float64 `json:"answer_margin_s"`
		Remember      float64 `json:"remember_s"`
		RememberBytes int     `json:"remember_bytes"`
	} `json:"limits"`
	Timers *struct {
		Crontab string `json:"crontab"`
		Source  string `json:"source"`
	} `json:"timers"`
	Registry *struct {
		Keys string `json:"keys"`
	} `json:"handlers"`
	Log struct {
		Level string `json:"level"`
		Form  string `json:"form"`
	} `json:"log"`
	State *struct {
		Dir string `json:"dir"`
	} `json:"state"`
	Console *struct {
		Socket string `json:"socket"`
		Mode   string `json:"mode"`
	} `json:"console"`
	Metrics *struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
	Traces *struct {
		File  string  `json:"file"`
		Share float64 `json:"share"`
	} `json:"traces"`
	StopWithin float64 `json:"stop_within_s"`
	dir        string
	document   []byte
}

// Document is the text that the configuration was read from.
func (c *Config) Document() []byte { return c.document }

// RequestClass is one type of event.
type RequestClass struct {
	Name                string  `json:"name"`
	LatencyObjective    float64 `json:"target_time_s"`
	Timeout             float64 `json:"max_age_s"`
	Semantics           string  `json:"repeat"`
	DeduplicationScope  string  `json:"reach"`
	DeduplicationWindow float64 `json:"remembered_s"`
}

// Fault is one thing wrong with a document: where (a JSON pointer, RFC 6901), what stands there, what is allowed.
type Fault struct{ Pointer, Value, Want string }

func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", f.Pointer, f.Want)
	}
	return fmt.Sprintf("%s: %s: %s", f.Pointer, f.Value, f.Want)
}

// Faults are all that is wrong with a document.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Default is the configuration that a fresh machine starts with.
func Default() *Config {
	c, err := Parse(embedded, ".")
	if err != nil {
		panic("embedded configuration: " + err.Error())
	}
	return c
}

// Load reads a document from a file; paths in it are relative to the file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(data, filepath.Dir(file))
}

// Parse reads a document; dir is where its relative paths begin. Faults are returned as Faults, all at once.
func Parse(data []byte, dir string) (*Config, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
			return nil, fmt.Errorf("configuration: line %d: %w", line, err)
		}
		return nil, fmt.Errorf("configuration: not JSON: %w", err)
	}
	schema, err := compiled()
	if err != nil {
		return nil, err
	}
	if err := schema.Validate(doc); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return nil, err
		}
		return nil, faults(invalid, doc)
	}
	c := defaults()
	c.dir, c.document = dir, data
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if f := c.check(); len(f) > 0 {
		return nil, f
	}
	return c, nil
}

func compiled() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("urn:streamcleat:config", doc); err != nil {
		return nil, err
	}
	return c.Compile("urn:streamcleat:config")
}

func faults(root *jsonschema.ValidationError, doc any) Faults {
	var list Faults
	printer := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) > 0 {
			for _, c := range e.Causes {
				walk(c)
			}
			return
		}
		list = append(list, Fault{pointer(e.InstanceLocation), excerpt(doc, e.InstanceLocation),
			e.ErrorKind.LocalizedString(printer)})
	}
	walk(root)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Pointer < list[j].Pointer })
	return list
}

func pointer(path []string) string {
	if len(path) == 0 {
		return "/"
	}
	var b strings.Builder
	for _, p := range path {
		b.WriteString("/" + strings.ReplaceAll(strings.ReplaceAll(p, "~", "~0"), "/", "~1"))
	}
	return b.String()
}

func excerpt(doc any, path []string) string {
	for _, p := range path {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[p]
		case []any:
			i := 0
			fmt.Sscan(p, &i)
			if i < len(v) {
				doc = v[i]
			}
		}
	}
	switch doc.(type) {
	case map[string]any, []any:
		return ""
	}
	text, _ := json.Marshal(doc)
	if len(text) > 60 {
		text = append(text[:57], "..."...)
	}
	return string(text)
}

func defaults() *Config {
	c := &Config{Name: "streamcleat", Listen: []string{"127.0.0.1:8080"}, StopWithin: 5}
	c.Workers.Dial, c.Workers.Idle, c.Workers.Connections = 0.25, 30, 1024
	c.Workers.LoadOrders, c.Workers.OrderLimit, c.Workers.KeepWarm = true, 10, 8
	r := &c.Rules
	r.Launches, r.MaxPause, r.ColdShare, r.WarmWithin, r.FallFactor, r.FallWindow = 4, 0.5, 0.25, 16, 2.5, 1.5
	l := &c.Limits
	l.Head, l.Body, l.Pipeline, l.Arrival, l.Idle, l.Connections = 16<<10, 1<<20, 64, 10, 60, 10000
	l.Open, l.Unread, l.Margin, l.Remember, l.RememberBytes = 20000, 4<<20, 0.05, 600, 64<<20
	c.Log.Level, c.Log.Form = "info", "text"
	return c
}

// check finds what a schema can't say.
func (c *Config) check() (f Faults) {
	names := map[string]int{}
	for i, t := range c.RequestClasses {
		at := fmt.Sprintf("/event_types/%d", i)
		if first, twice := names[t.Name]; twice {
			f = append(f, Fault{at + "/name", fmt.Sprintf("%q", t.Name), fmt.Sprintf("already stated at /event_types/%d", first)})
		}
		names[t.Name] = i
		if t.LatencyObjective > t.Timeout {
			f = append(f, Fault{at + "/target_time_s", fmt.Sprint(t.LatencyObjective), fmt.Sprintf("not above max_age_s, %v", t.Timeout)})
		}
		if c.Limits.Margin >= t.Timeout {
			f = append(f, Fault{at + "/max_age_s", fmt.Sprint(t.Timeout),
				fmt.Sprintf("above /limits/answer_margin_s, %v", c.Limits.Margin)})
		}
	}
	for i, fn := range c.Functions {
		if _, err := path.Match(fn.Match, ""); err != nil {
			f = append(f, Fault{fmt.Sprintf("/functions/%d/match", i), fmt.Sprintf("%q", fn.Match), err.Error()})
		}
	}
	if p := c.Peers; p != nil {
		if len(p.Listen) != len(c.Listen) {
			f = append(f, Fault{"/peers/listen", fmt.Sprintf("%d entries", len(p.Listen)),
				fmt.Sprintf("one for each entry of /listen, %d", len(c.Listen))})
		}
		if p.FrontEnds < len(c.Listen)+len(p.Others) {
			f = append(f, Fault{"/peers/front_ends", fmt.Sprint(p.FrontEnds),
				fmt.Sprintf("at least the %d named here", len(c.Listen)+len(p.Others))})
		}
	}
	tenants := map[string]bool{}
	for i, t := range c.Tenants {
		if tenants[t.Name] {
			f = append(f, Fault{fmt.Sprintf("/tenants/%d/name", i), fmt.Sprintf("%q", t.Name), "stated twice"})
		}
		tenants[t.Name] = true
	}
	return f
}

// Path makes a path of the document absolute in the way it is meant.
func (c *Config) Path(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(c.dir, p)
}

// Logger makes the program's log.
func (c *Config) Logger(w io.Writer) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(c.Log.Level))
	if c.Log.Form == "json" {
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

var repeats = map[string]control.DeliverySemantics{"": control.Idempotent, "redeliverable": control.Idempotent,
	"keyed": control.IdempotentByKey, "at-most-once": control.AtMostOnce}

var reaches = map[string]control.DeduplicationScope{"": control.ScopeFleet, "all": control.ScopeFleet, "zone": control.ScopeZone,
	"cell": control.ScopeFailureDomain}

// roundGap stands for the least time between two looks of the decisions at the same thing: a turn of the loop.
const roundGap = 0.004

// Deployment is what the decisions read.
func (c *Config) Deployment() *control.Deployment {
	r := c.Rules
	d := &control.Deployment{FrontEnds: len(c.Listen), MissIsAnswered: !c.Workers.LoadOnEvent, LoadCommandsAllowed: c.Workers.LoadOrders,
		MaxAttempts: r.Launches, MaxRetryAfter: r.MaxPause, IdleReplicaLifetime: c.Workers.KeepWarm, LoadCommandWindow: r.LoadWindow,
		LoadCommandAllowance: r.LoadFree, LoadCommandsPerRequest: r.LoadShare, MinRoundInterval: roundGap, ColdShare: r.ColdShare,
		WarmUpTime: r.WarmWithin, OverloadFactor: r.FallFactor, OverloadWindow: r.FallWindow}
	if c.Peers != nil {
		d.FrontEnds, d.GossipAllowed = c.Peers.FrontEnds, true
	}
	for _, t := range c.RequestClasses {
		d.RequestClasses = append(d.RequestClasses, control.RequestClass{Name: t.Name, LatencyObjective: t.LatencyObjective, Timeout: t.Timeout,
			Semantics: repeats[t.Semantics], DeduplicationScope: reaches[t.DeduplicationScope], DeduplicationWindow: t.DeduplicationWindow})
	}
	for _, t := range c.Tenants {
		d.Tenants = append(d.Tenants, control.Tenant{Name: control.TenantID(t.Name), Quota: t.Quota})
	}
	return d
}

// Function is what is known of a function by its name.
func (c *Config) Function(name string) dispatch.FunctionProfile {
	for _, fn := range c.Functions {
		if ok, _ := path.Match(fn.Match, name); ok {
			return dispatch.FunctionProfile{Concurrency: max(fn.Lanes, 1), MemoryMB: fn.Memory, LoadTime: fn.Load}
		}
	}
	return dispatch.FunctionProfile{Concurrency: 1}
}

// Dispatch is what the gateway's core reads.
func (c *Config) Dispatch(seed uint64) dispatch.Settings {
	return dispatch.Settings{Deployment: c.Deployment(), Functions: c.Function, ResponseMargin: c.Limits.Margin,
		LoadTimeout: c.Workers.OrderLimit, MaxOpen: c.Limits.Open, DeduplicationWindow: c.Limits.Remember,
		MaxCachedBytes: c.Limits.RememberBytes, Seed: seed}
}

// Upstream is what bounds the connections to workers.
func (c *Config) Upstream(via string) upstream.Limits {
	return upstream.Limits{DialTimeout: c.Workers.Dial, IdleTimeout: c.Workers.Idle, MaxPerWorker: c.Workers.Connections, Via: via,
		Message: http1.Limits{Head: c.Limits.Head, Body: max(c.Limits.Body, 1<<20)}}
}

func (c *Config) maxAge(eventType string) float64 {
	for _, t := range c.RequestClasses {
		if t.Name == eventType {
			return t.Timeout
		}
	}
	return 0
}

// Downstream is what bounds client connections.
func (c *Config) Downstream() fronthttp.Limits {
	l := c.Limits
	return fronthttp.Limits{Message: http1.Limits{Head: l.Head, Body: l.Body}, Pipeline: l.Pipeline, Arrival: l.Arrival,
		Idle: l.Idle, Unread: l.Unread, MaxAge: c.maxAge}
}
