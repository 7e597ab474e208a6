package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"streamcleat/internal/appliance"
)

const (
	requestTimeout         = 10 * time.Second
	dialTimeout            = 2 * time.Second
	maxResponseBytes int64 = 64 << 20
)

// Client is a client of an appliance's admin API.
type Client struct {
	Socket string
	Name   string // identifies this console to the appliance and its other consoles
	http   http.Client
}

// NewClient returns a client of the appliance that listens on the given Unix socket. name identifies the console.
func NewClient(socket, name string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "unix", socket)
	}
	return &Client{
		Socket: socket,
		Name:   name,
		http:   http.Client{Timeout: requestTimeout, Transport: &http.Transport{DialContext: dial}},
	}
}

// UnreachableError means that a request to the appliance failed without a complete response.
type UnreachableError struct {
	Socket string
	Err    error
}

// Error implements the error interface.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no box answers at %s: %v", e.Socket, errors.Unwrap(e.Err))
}

// Unwrap returns the error of the HTTP request.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RejectedError is an error response of the appliance.
type RejectedError struct {
	Status  int
	Message string
}

// Error implements the error interface.
func (e *RejectedError) Error() string { return e.Message }

// call sends a request and decodes the JSON response into result.
func (c *Client) call(method, path string, body []byte, result any) error {
	request, err := http.NewRequest(method, "http://box"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{c.Socket, err}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close() // the read error, if any, is the one to report
	if err != nil {
		return &UnreachableError{c.Socket, fmt.Errorf("read response: %w", err)}
	}
	if response.StatusCode != http.StatusOK {
		return rejectedError(response, data)
	}
	return json.Unmarshal(data, result)
}

// rejectedError returns the error for an error response. Its message is that of the body or, if there is none, the HTTP status.
func rejectedError(response *http.Response, body []byte) error {
	var document struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &document) != nil || document.Error == "" {
		document.Error = response.Status
	}
	return &RejectedError{response.StatusCode, document.Error}
}

// Get reads a resource, such as status, workers, handlers, events, timers, registry or trail, into result.
func (c *Client) Get(resource string, result any) error {
	return c.call(http.MethodGet, "/v1/"+resource, nil, result)
}

// Explain reads the status of a request, including the steps of its trace.
func (c *Client) Explain(id string) (appliance.RequestStatus, error) {
	var request appliance.RequestStatus
	err := c.Get("explain?id="+url.QueryEscape(id), &request)
	return request, err
}

// Execute sends a command and returns a description of its result.
func (c *Client) Execute(command appliance.Command) (string, error) {
	command.Console = c.Name
	return c.post("/v1/orders", command)
}

// Change applies a change to the function registry and returns a description of it. The actor defaults to the client's name.
func (c *Client) Change(change appliance.Change) (string, error) {
	if change.Actor == "" {
		change.Actor = c.Name
	}
	return c.post("/v1/registry", change)
}

// post sends a document as JSON and returns the description of the result in the response.
func (c *Client) post(path string, document any) (string, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return "", err
	}
	var result struct {
		Said string `json:"said"`
	}
	err = c.call(http.MethodPost, path, body, &result)
	return result.Said, err
}
