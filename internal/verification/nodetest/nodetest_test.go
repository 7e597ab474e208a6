package nodetest

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"net"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/platform"
	"streamcleat/internal/verification/workerframes"
)

// encodeFrame encodes a frame as a front end sends it.
func encodeFrame(command byte, fields, body string) []byte {
	return workerframes.EncodeCommand(command, 7, fields, []byte(body))
}

// exchange sends a frame to a worker and returns the reply, which is empty if there was none within timeout.
func exchange(t *testing.T, w *Worker, frame []byte, timeout time.Duration) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	if _, err := conn.Write(frame); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, 1024)
	n, _ := conn.Read(reply) // without a reply the read times out
	return reply[:n]
}

func isChecksumValid(reply []byte) bool {
	end := len(reply) - workerframes.ChecksumSize
	return binary.BigEndian.Uint32(reply[end:]) == crc32.ChecksumIEEE(reply[workerframes.HeaderSize:end])
}

func TestWorker_RepliesToAttempt(t *testing.T) {
	w := NewWorker(t)
	attempt := encodeFrame(workerframes.CommandAttempt, "budget=5", "body")
	reply := exchange(t, w, attempt, clientTimeout)
	if len(reply) == 0 || reply[1] != workerframes.ReplySucceeded || !bytes.Contains(reply, []byte("body")) || !isChecksumValid(reply) {
		t.Errorf("reply %q", reply)
	}
	w.Corrupt.Store(true)
	if reply := exchange(t, w, attempt, clientTimeout); len(reply) == 0 || isChecksumValid(reply) {
		t.Errorf("reply of a corrupt worker: %q", reply)
	}
	w.Silent.Store(true)
	if reply := exchange(t, w, attempt, 100*time.Millisecond); len(reply) != 0 {
		t.Errorf("reply of a silent worker: %q", reply)
	}
	if n := w.Attempts.Load(); n != 3 {
		t.Errorf("%d attempts counted, want 3", n)
	}
}

func TestWorker_RepliesToLoadWithChosenCode(t *testing.T) {
	w := NewWorker(t)
	w.Corrupt.Store(true) // applies to attempts only
	w.SetReplyCode(func(byte) byte { return workerframes.ReplyFailed })
	reply := exchange(t, w, encodeFrame(workerframes.CommandLoad, "", ""), clientTimeout)
	if len(reply) == 0 || reply[1] != workerframes.ReplyFailed || !bytes.Contains(reply, []byte(OneReplica)) || !isChecksumValid(reply) {
		t.Errorf("reply %q", reply)
	}
	if command := <-w.Replied; command != workerframes.CommandLoad {
		t.Errorf("worker replied to command %d", command)
	}
}

func TestBudget(t *testing.T) {
	if budget := Budget(t, workerframes.Frame{Fields: []byte("a=1,budget=250,uniq=k")}); budget != 250*time.Millisecond {
		t.Error(budget)
	}
}

func TestDrainLine_DrainsWorkerOfDocument(t *testing.T) {
	const worker = "127.0.0.1:3"
	document, err := platform.ReadDocument([]byte(DocumentText("127.0.0.1:1", "127.0.0.1:2", worker, 64)))
	if err != nil {
		t.Fatal(err)
	}
	if document.Listen != "127.0.0.1:1" || document.DiscoveryAddress != "127.0.0.1:2" || document.MaxDescriptors != 64 {
		t.Errorf("document %+v", document)
	}
	if workers := document.Discovery.EndpointList(0, 0).Workers; len(workers) != 1 || workers[0].State != control.Serving {
		t.Fatalf("workers before the update: %+v", workers)
	}
	if effect, err := document.Discovery.ReadLine([]byte(DrainLine(worker))); effect != platform.Changed || err != nil {
		t.Error(effect, err)
	}
	if workers := document.Discovery.EndpointList(0, 0).Workers; len(workers) != 1 || workers[0].State != control.Draining {
		t.Errorf("workers after the update: %+v", workers)
	}
}
