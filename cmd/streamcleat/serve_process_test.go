package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startServeProcess runs an appliance under a limit of descriptors.
func startServeProcess(t *testing.T, addr string, descriptors int) (process *os.Process, stderr *bytes.Buffer, done chan error) {
	t.Helper()
	dir := t.TempDir()
	document := fmt.Sprintf(`{"listen":[%q],"console":{"socket":%q},"workers":{"file":"workers.json"},"event_types":[{"name":"call","target_time_s":0.5,"max_age_s":1}],
		"functions":[{"match":"*","lanes":4,"load_s":0.1}]}`, addr, filepath.Join(dir, "box.sock"))
	for name, text := range map[string]string{"box.json": document, "workers.json": "[]"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec streamcleat serve box.json", descriptors))
	cmd.Dir = dir
	stderr, done = &bytes.Buffer{}, make(chan error, 1)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { done <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it has usually ended
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			closeConnection(t, conn)
			return cmd.Process, stderr, done
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("it does not listen")
	return nil, nil, nil
}

// Idle clients of an appliance take neither all descriptors nor the service of others: room is made for who comes.
func TestServeUnderItsDescriptorLimit(t *testing.T) {
	t.Parallel()
	addr := freeAddresses(t, 1)[0]
	process, stderr, done := startServeProcess(t, addr, 128)
	dialSilently(t, addr, 300)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for range 3 {
		response, err := client.Get("http://" + addr + "/none")
		if err != nil {
			t.Fatalf("%v\n%s", err, stderr)
		}
		_, _ = io.Copy(io.Discard, response.Body) // the status is what counts
		if err := response.Body.Close(); err != nil || response.StatusCode/100 != 4 {
			t.Error(response.Status, err)
		}
		client.CloseIdleConnections()
	}
	if err := process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	select {
	case err := <-done:
		if err != nil || strings.Contains(stderr.String(), "too many open files") {
			t.Error(err, stderr)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}
