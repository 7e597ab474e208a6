package soak

import (
	"encoding/binary"
	"fmt"
	"io"
)

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
