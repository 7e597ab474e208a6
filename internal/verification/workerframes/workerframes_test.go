package workerframes

import (
	"bytes"
	"testing"
)

func TestRead(t *testing.T) {
	valid := EncodeCommand(CommandAttempt, 7, "queue=free,budget=5", []byte("body"))
	frame, err := Read(bytes.NewReader(valid))
	if err != nil || frame.Command() != CommandAttempt || frame.ID() != 7 || frame.Field("budget") != "5" || string(frame.Body) != "body" {
		t.Errorf("frame %+v, error %v", frame, err)
	}
	if value := frame.Field("uniq"); value != "" {
		t.Errorf("absent field has the value %q", value)
	}
	reply := frame.Reply(ReplySucceeded, "detail=hit", frame.Body)
	if reply[0] != WorkerMagic || bytes.Equal(reply, frame.CorruptReply(ReplySucceeded, "detail=hit", frame.Body)) {
		t.Errorf("reply %q", reply)
	}
	wrongChecksum := bytes.Clone(valid)
	wrongChecksum[len(wrongChecksum)-1]++
	for name, data := range map[string][]byte{"of a worker": reply, "with a wrong checksum": wrongChecksum, "cut off": valid[:len(valid)-1]} {
		if _, err := Read(bytes.NewReader(data)); err == nil {
			t.Errorf("frame %s was read", name)
		}
	}
}
