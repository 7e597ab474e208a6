package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startServeProcess runs an appliance in a process with a limit on open descriptors.
func startServeProcess(t *testing.T, addr string, descriptors int) (appliance *serverProcess, stderr *bytes.Buffer) {
	t.Helper()
	dir := t.TempDir()
	document := fmt.Sprintf(`{"listen":[%q],"console":{"socket":%q},"workers":{"file":"workers.json"},"event_types":[{"name":"call","target_time_s":0.5,"max_age_s":1}],
		"functions":[{"match":"*","lanes":4,"load_s":0.1}]}`, addr, filepath.Join(dir, "box.sock"))
	for name, text := range map[string]string{"box.json": document, "workers.json": "[]"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stderr = &bytes.Buffer{}
	command := fmt.Sprintf("ulimit -n %d; exec streamcleat serve box.json", descriptors)
	return startServer(t, dir, command, addr, stderr), stderr
}

// Tests that idle clients do not exhaust the descriptors of an appliance: their connections are evicted, and other clients
// are served.
func TestServe_EvictsIdleClientsAtDescriptorLimit(t *testing.T) {
	t.Parallel()
	addr := freeAddresses(t, 1)[0]
	appliance, stderr := startServeProcess(t, addr, 128)
	dialSilently(t, addr, 300)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for range 3 {
		response, err := client.Get("http://" + addr + "/none")
		if err != nil {
			t.Fatalf("%v\n%s", err, stderr)
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the status is checked
		if err := response.Body.Close(); err != nil || response.StatusCode/100 != 4 {
			t.Error(response.Status, err)
		}
		client.CloseIdleConnections()
	}
	appliance.signal(t, syscall.SIGTERM)
	select {
	case err := <-appliance.done:
		if err != nil || strings.Contains(stderr.String(), "too many open files") {
			t.Error(err, stderr)
		}
	case <-time.After(10 * time.Second):
		t.Error("appliance has not exited 10 s after SIGTERM")
	}
}

// Tests that while clients with incomplete requests hold all connections, the requests of further clients are rejected with
// Retry-After, rather than their connections being closed without a response.
func TestServe_RejectsRequestsAtDescriptorLimit(t *testing.T) {
	t.Parallel()
	addr := freeAddresses(t, 1)[0]
	appliance, stderr := startServeProcess(t, addr, 128)
	for _, conn := range dialSilently(t, addr, 128) {
		_, _ = io.WriteString(conn, "POST /events HTTP/1.1\r\nHost: f\r\n") // fails if the connection was closed at the limit
	}
	time.Sleep(1500 * time.Millisecond) // until the connections beyond the limit have been closed
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	for id := range 5 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/events", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for name, value := range map[string]string{"specversion": "1.0", "source": "/t", "id": strconv.Itoa(id), "type": "call", "function": "f"} {
			request.Header.Set("ce-"+name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("%v\n%s", err, stderr)
		}
		body, _ := io.ReadAll(response.Body) // used only in the failure message
		if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("got status %s, headers %v, body %s, error %v; want 503 with Retry-After", response.Status, response.Header, body, err)
		}
	}
	appliance.signal(t, syscall.SIGTERM)
	select {
	case err := <-appliance.done:
		if err != nil {
			t.Error(err, stderr)
		}
	case <-time.After(10 * time.Second):
		t.Error("appliance has not exited 10 s after SIGTERM")
	}
}
