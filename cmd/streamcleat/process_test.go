package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"streamcleat/internal/verification/nodetest"
)

// freeAddresses returns loopback addresses with currently unused ports below the system's ephemeral port range. A port from
// that range could be assigned to an outgoing connection before the process under test listens on it.
func freeAddresses(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for len(addrs) < n {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(2_000)))
		if err != nil {
			continue
		}
		addrs = append(addrs, listener.Addr().String())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return addrs
}

// serverProcess is a process of the program that listens on an address.
type serverProcess struct {
	process *os.Process
	done    chan error // receives the result of Wait
}

// startServer runs a shell command in a directory and waits until the process listens on addr.
func startServer(t *testing.T, dir, command, addr string, stderr io.Writer, env ...string) *serverProcess {
	t.Helper()
	cmd := exec.Command("sh", "-c", command)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s := &serverProcess{process: cmd.Process, done: make(chan error, 1)}
	go func() { s.done <- cmd.Wait() }()
	t.Cleanup(func() { _ = s.process.Kill() }) // fails if the process has exited
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			nodetest.Close(t, conn)
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: not listening on %s after 200 attempts to connect", command, addr)
	return nil
}

// signal sends the process a signal.
func (s *serverProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := s.process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// dialSilently tries to open n connections, sends nothing on them, and returns those that were established.
func dialSilently(t *testing.T, addr string, n int) (conns []net.Conn) {
	t.Helper()
	for range n {
		if conn, err := net.Dial("tcp", addr); err == nil {
			nodetest.CloseAtEnd(t, conn)
			conns = append(conns, conn)
		}
	}
	return conns
}
