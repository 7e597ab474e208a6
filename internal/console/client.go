// Package console shows a running box and gives it orders, over its Unix socket: plain tables for sub-commands, and a
// terminal interface that does the same by keys.
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

// Client speaks to a box.
type Client struct {
	Socket string
	Name   string // by which the box tells other consoles who gives orders
	http   http.Client
}

// NewClient makes a client for the box that listens on a socket.
func NewClient(socket, name string) *Client {
	c := &Client{Socket: socket, Name: name}
	c.http = http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "unix", socket)
		}}}
	return c
}

// Unreached tells that no box answers at the socket.
type Unreached struct {
	Socket string
	Err    error
}

func (u *Unreached) Error() string {
	return fmt.Sprintf("no box answers at %s: %v", u.Socket, errors.Unwrap(u.Err))
}
func (u *Unreached) Unwrap() error { return u.Err }

func (c *Client) do(method, path string, body []byte, to any) error {
	req, err := http.NewRequest(method, "http://box"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Unreached{c.Socket, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return &Unreached{c.Socket, fmt.Errorf("answer cut off: %w", err)}
	}
	if resp.StatusCode != http.StatusOK {
		var said struct{ Error string }
		if json.Unmarshal(data, &said) != nil || said.Error == "" {
			said.Error = resp.Status
		}
		return errors.New(said.Error)
	}
	return json.Unmarshal(data, to)
}

// Get reads one of status, workers, handlers, events, timers.
func (c *Client) Get(what string, to any) error { return c.do(http.MethodGet, "/v1/"+what, nil, to) }

// Explain reads the way of one event.
func (c *Client) Explain(id string) (e appliance.RequestStatus, err error) {
	err = c.Get("explain?id="+url.QueryEscape(id), &e)
	return
}

// Order asks the box to do something and returns what it says.
func (c *Client) Order(o appliance.Command) (string, error) {
	o.Console = c.Name
	body, err := json.Marshal(o)
	if err != nil {
		return "", err
	}
	var said struct{ Said string }
	err = c.do(http.MethodPost, "/v1/orders", body, &said)
	return said.Said, err
}

// Change asks the box to change its registry of functions and returns what it says.
func (c *Client) Change(change appliance.Change) (string, error) {
	if change.Actor == "" {
		change.Actor = c.Name
	}
	body, err := json.Marshal(change)
	if err != nil {
		return "", err
	}
	var said struct{ Said string }
	err = c.do(http.MethodPost, "/v1/registry", body, &said)
	return said.Said, err
}
