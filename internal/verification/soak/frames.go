package soak

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// Layout and codes of the frames between front ends and workers, as the platform specifies them.
const (
	frontEndMagic    = 192 // first byte of a front end's frame
	workerMagic      = 193 // first byte of a worker's frame
	workerHeaderSize = 16
	workerBodyOffset = 4
	workerIDOffset   = 8
	checksumSize     = 4

	commandAttempt = 48
	commandCancel  = 49
	commandPing    = 50
	commandLoad    = 52
	commandUnload  = 54

	replySucceeded = 64
	replyNotLoaded = 66
	replyRejected  = 67
	replyFailed    = 68
	replyPong      = 70
)

// workerFrame is a frame that a front end sent to a worker.
type workerFrame struct {
	command byte
	id      uint64
	fields  map[string]string
	body    []byte
}

// readWorkerFrame reads the next frame that a front end sent to a worker.
func readWorkerFrame(in io.Reader) (workerFrame, error) {
	var frame workerFrame
	var header [workerHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return frame, err
	}
	if header[0] != frontEndMagic {
		return frame, fmt.Errorf("unknown first byte %d of a frame", header[0])
	}
	fieldsSize := int(binary.BigEndian.Uint16(header[2:]))
	bodySize := int(binary.BigEndian.Uint32(header[workerBodyOffset:]))
	payload := make([]byte, fieldsSize+bodySize+checksumSize)
	if _, err := io.ReadFull(in, payload); err != nil {
		return frame, err
	}
	content := payload[:fieldsSize+bodySize]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(payload[len(content):]) {
		return frame, fmt.Errorf("checksum mismatch in frame with command %d", header[1])
	}
	frame = workerFrame{
		command: header[1], id: binary.BigEndian.Uint64(header[workerIDOffset:]), fields: map[string]string{},
		body: content[fieldsSize:],
	}
	for field := range strings.SplitSeq(string(content[:fieldsSize]), ",") {
		name, value, _ := strings.Cut(field, "=")
		frame.fields[name] = value
	}
	return frame, nil
}

// encodeReply encodes a worker's reply frame.
func encodeReply(code byte, id uint64, fields string, body []byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte{workerMagic, code}, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[workerHeaderSize:]))
}

// Types and codes of the frames between clients and front ends.
const (
	frameRequest        = 1
	frameResponse       = 2
	frameCancel         = 3
	frameReadinessQuery = 4
	frameReadiness      = 5
	frameGoAway         = 6

	codeSucceeded = 0
	codeRejected  = 8
	codeFailed    = 13

	clientLengthSize = 4
	clientHeaderSize = 5 // frame type and stream ID
)

// clientField is a named field in the payload of a client's frame.
type clientField struct{ name, value string }

// encodeClientFrame encodes a frame that a client sends to a front end.
func encodeClientFrame(kind byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(clientHeaderSize+len(payload)))
	b = binary.BigEndian.AppendUint32(append(b, kind), stream)
	return append(b, payload...)
}

func encodeFields(fields []clientField) []byte {
	b := []byte{byte(len(fields))}
	for _, field := range fields {
		b = append(append(b, byte(len(field.name))), field.name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(field.value))), field.value...)
	}
	return b
}

// clientFrame is a frame that a front end sent to a client.
type clientFrame struct {
	kind    byte
	stream  uint32
	code    byte // of a response or a readiness frame
	payload []byte
}

// readClientFrame reads the next frame that a front end sent to a client.
func readClientFrame(in io.Reader) (clientFrame, error) {
	var frame clientFrame
	var length [clientLengthSize]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return frame, err
	}
	data := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(in, data); err != nil {
		return frame, err
	}
	if len(data) < clientHeaderSize {
		return frame, fmt.Errorf("frame of %d bytes is shorter than its header", len(data))
	}
	frame = clientFrame{kind: data[0], stream: binary.BigEndian.Uint32(data[1:]), payload: data[clientHeaderSize:]}
	if frame.kind == frameResponse || frame.kind == frameReadiness {
		if len(frame.payload) < 2 {
			return frame, fmt.Errorf("response payload of %d bytes is too short", len(frame.payload))
		}
		frame.code, frame.payload = frame.payload[0], frame.payload[1:]
	}
	return frame, nil
}

// body returns the part of a response payload that follows the fields.
func (f *clientFrame) body() []byte {
	rest := f.payload
	count := int(rest[0])
	rest = rest[1:]
	for range count {
		rest = rest[1+int(rest[0]):]
		rest = rest[2+int(binary.BigEndian.Uint16(rest)):]
	}
	return rest
}
