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

// freeAddresses returns loopback addresses that are unused at the moment. Their ports lie below the range from which the
// system assigns ports to connections: one of those could be taken before the address is listened on.
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

// serverProcess is the program as a process that serves an address.
type serverProcess struct {
	process *os.Process
	done    chan error
}

// startServer runs a shell command in a directory and waits until it listens on addr.
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
	t.Cleanup(func() { _ = s.process.Kill() }) // it has usually ended
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			nodetest.Close(t, conn)
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s does not listen on %s", command, addr)
	return nil
}

// signal sends the process a signal.
func (s *serverProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := s.process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// dialSilently opens up to n connections on which nothing is sent, and returns those that were accepted.
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
