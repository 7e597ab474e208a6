// Package workerframes is the side of fake workers of the platform's frames between front ends and workers: it reads what front
// ends send, and encodes replies. It shares no code with the program under test, has no state, and knows neither sockets nor a
// clock. Its callers are the fake workers of the other verification packages.
package workerframes

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// Commands of front ends.
const (
	CommandAttempt = 48
	CommandCancel  = 49
	CommandPing    = 50
	CommandLoad    = 52
	CommandUnload  = 54
)

// Codes of replies.
const (
	ReplySucceeded      = 64
	ReplyReplicaMissing = 66
	ReplyRejected       = 67
	ReplyFailed         = 68
	ReplyPong           = 70
)

// First bytes of frames, which identify the sender.
const (
	FrontEndMagic = 192
	WorkerMagic   = 193
)

// A frame consists of a header (first byte, code, sizes of fields and body, ID), fields, body and a checksum of both.
const (
	HeaderSize   = 16
	ChecksumSize = 4

	fieldsSizeOffset = 2
	bodySizeOffset   = 4
	idOffset         = 8
)

// Frame is a frame that a front end sent to a worker.
type Frame struct {
	Fields []byte // name=value, separated by commas
	Body   []byte

	header [HeaderSize]byte
}

// Read reads the next frame that a front end sent. It returns an error for a first byte or checksum that is wrong.
func Read(in io.Reader) (Frame, error) {
	var frame Frame
	if _, err := io.ReadFull(in, frame.header[:]); err != nil {
		return Frame{}, err
	}
	if frame.header[0] != FrontEndMagic {
		return Frame{}, fmt.Errorf("unknown first byte %d of a frame", frame.header[0])
	}
	fieldsSize := int(binary.BigEndian.Uint16(frame.header[fieldsSizeOffset:]))
	contentSize := fieldsSize + int(binary.BigEndian.Uint32(frame.header[bodySizeOffset:]))
	payload := make([]byte, contentSize+ChecksumSize)
	if _, err := io.ReadFull(in, payload); err != nil {
		return Frame{}, err
	}
	content := payload[:contentSize]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(payload[contentSize:]) {
		return Frame{}, fmt.Errorf("checksum mismatch in a frame with command %d", frame.Command())
	}
	frame.Fields, frame.Body = content[:fieldsSize], content[fieldsSize:]
	return frame, nil
}

// Command returns the frame's command.
func (f Frame) Command() byte { return f.header[1] }

// ID returns the ID of the request or load command.
func (f Frame) ID() uint64 { return binary.BigEndian.Uint64(f.header[idOffset:]) }

// Field returns the value of a field, or "" if it is absent.
func (f Frame) Field(name string) string {
	for field := range strings.SplitSeq(string(f.Fields), ",") {
		if key, value, _ := strings.Cut(field, "="); key == name {
			return value
		}
	}
	return ""
}

// Reply encodes a reply to the frame.
func (f Frame) Reply(code byte, fields string, body []byte) []byte {
	return encode(WorkerMagic, code, f.ID(), fields, body)
}

// CorruptReply encodes a reply to the frame with a wrong checksum.
func (f Frame) CorruptReply(code byte, fields string, body []byte) []byte {
	reply := f.Reply(code, fields, body)
	checksum := reply[len(reply)-ChecksumSize:]
	binary.BigEndian.PutUint32(checksum, binary.BigEndian.Uint32(checksum)+1)
	return reply
}

// EncodeCommand encodes a frame as a front end sends it.
func EncodeCommand(command byte, id uint64, fields string, body []byte) []byte {
	return encode(FrontEndMagic, command, id, fields, body)
}

func encode(magic, code byte, id uint64, fields string, body []byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte{magic, code}, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[HeaderSize:]))
}
