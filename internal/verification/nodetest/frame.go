package nodetest

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Commands and replies of the platform's worker protocol.
const (
	CommandAttempt      = 48
	CommandCancel       = 49
	CommandLoad         = 52
	ReplySucceeded      = 64
	ReplyReplicaMissing = 66
	ReplyRejected       = 67
	ReplyFailed         = 68
	// ReplyMagic is the magic number with which each reply begins.
	ReplyMagic = 193
)

// Fields of replies.
const (
	// OneReplica is the fields section of a reply to a load command after which one replica is loaded.
	OneReplica = "slots_up=1"

	replicaFound = "detail=hit"
)

// A frame consists of a header of 16 bytes (magic number, code, sizes of fields and body, request ID), fields, body and
// checksum.
const (
	frameHeaderSize  = 16
	requestIDOffset  = 8
	checksumSize     = 4
	fieldsSizeOffset = 2
	bodySizeOffset   = 4
)

// Frame is a frame that was received by a worker.
type Frame struct {
	Fields []byte
	Body   []byte

	header []byte
}

// ReadFrame reads the next frame that was sent to a worker. It does not verify the checksum.
func ReadFrame(conn io.Reader) (Frame, error) {
	header := make([]byte, frameHeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return Frame{}, err
	}
	fieldsSize := int(binary.BigEndian.Uint16(header[fieldsSizeOffset:]))
	bodySize := int(binary.BigEndian.Uint32(header[bodySizeOffset:]))
	rest := make([]byte, fieldsSize+bodySize+checksumSize)
	if _, err := io.ReadFull(conn, rest); err != nil {
		return Frame{}, err
	}
	return Frame{header: header, Fields: rest[:fieldsSize], Body: rest[fieldsSize : fieldsSize+bodySize]}, nil
}

// Command returns the frame's command.
func (f Frame) Command() byte { return f.header[1] }

// ID returns the ID of the request or load command.
func (f Frame) ID() uint64 { return binary.BigEndian.Uint64(f.header[requestIDOffset:]) }

// Reply encodes a reply to the frame.
func (f Frame) Reply(code byte, fields string, body []byte) []byte {
	reply := binary.BigEndian.AppendUint16([]byte{ReplyMagic, code}, uint16(len(fields)))
	reply = binary.BigEndian.AppendUint32(reply, uint32(len(body)))
	reply = append(reply, f.header[requestIDOffset:]...)
	reply = append(append(reply, fields...), body...)
	return binary.BigEndian.AppendUint32(reply, crc32.ChecksumIEEE(reply[frameHeaderSize:]))
}

// CorruptReply encodes a reply to the frame with a wrong checksum.
func (f Frame) CorruptReply(code byte, fields string, body []byte) []byte {
	reply := f.Reply(code, fields, body)
	checksum := reply[len(reply)-checksumSize:]
	binary.BigEndian.PutUint32(checksum, binary.BigEndian.Uint32(checksum)+1)
	return reply
}

// Field returns the value of a field, or "" if it is absent.
func (f Frame) Field(name string) string {
	for field := range strings.SplitSeq(string(f.Fields), ",") {
		if key, value, _ := strings.Cut(field, "="); key == name {
			return value
		}
	}
	return ""
}

// Budget returns the time that an attempt allows its worker for execution.
func (f Frame) Budget(t *testing.T) time.Duration {
	t.Helper()
	milliseconds, err := strconv.Atoi(f.Field("budget"))
	if err != nil {
		t.Errorf("no budget in the fields %q: %v", f.Fields, err)
	}
	return time.Duration(milliseconds) * time.Millisecond
}
