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

// Client calls the API of an appliance.
type Client struct {
	Socket string
	Name   string // by which the appliance tells other consoles who gives commands
	http   http.Client
}

// NewClient returns a client of the appliance that listens on a socket.
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

// UnreachableError is returned when no appliance answers at the socket.
type UnreachableError struct {
	Socket string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no box answers at %s: %v", e.Socket, errors.Unwrap(e.Err))
}

// Unwrap returns the error of the connection.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RejectedError is an error of the appliance itself.
type RejectedError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string { return e.Message }

// call sends a request and decodes the response.
func (c *Client) call(method, path string, body []byte, into any) error {
	request, err := http.NewRequest(method, "http://box"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{c.Socket, err}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close() // the response is read, or its error is the one to report
	if err != nil {
		return &UnreachableError{c.Socket, fmt.Errorf("answer cut off: %w", err)}
	}
	if response.StatusCode != http.StatusOK {
		return refusedError(response, data)
	}
	return json.Unmarshal(data, into)
}

// refusedError returns the error in a response, or its status when it has none.
func refusedError(response *http.Response, body []byte) error {
	var document struct{ Error string }
	if json.Unmarshal(body, &document) != nil || document.Error == "" {
		document.Error = response.Status
	}
	return &RejectedError{response.StatusCode, document.Error}
}

// Get reads a resource: status, workers, handlers, events, timers, registry or trail.
func (c *Client) Get(resource string, into any) error {
	return c.call(http.MethodGet, "/v1/"+resource, nil, into)
}

// Explain reads a request with its steps.
func (c *Client) Explain(id string) (request appliance.RequestStatus, err error) {
	err = c.Get("explain?id="+url.QueryEscape(id), &request)
	return request, err
}

// Execute gives a command and returns what was done.
func (c *Client) Execute(command appliance.Command) (string, error) {
	command.Console = c.Name
	return c.post("/v1/orders", command)
}

// Change makes a change of the function registry and returns what was done.
func (c *Client) Change(change appliance.Change) (string, error) {
	if change.Actor == "" {
		change.Actor = c.Name
	}
	return c.post("/v1/registry", change)
}

// post sends a document and returns the text of the response.
func (c *Client) post(path string, document any) (string, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return "", err
	}
	var result struct{ Said string }
	err = c.call(http.MethodPost, path, body, &result)
	return result.Said, err
}
