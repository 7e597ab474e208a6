package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// frameType is the type of a frame.
type frameType byte

const (
	frameRequest        frameType = 1
	frameResponse       frameType = 2
	frameCancel         frameType = 3
	frameReadinessQuery frameType = 4
	frameReadiness      frameType = 5
	frameGoAway         frameType = 6
)

// A frame consists of a length (4 bytes, not included in itself), a type (1), a stream (4) and a payload. All numbers are
// big-endian. Sizes are in bytes.
const (
	lengthSize = 4
	headerSize = lengthSize + minFrame
	minFrame   = 5       // type and stream
	maxFrame   = 262_144 // type, stream and payload
	// MaxBody is the maximum size of a request's body.
	MaxBody = 16 << 10
	// maxFields is the maximum size of a request's fields. With it, an oversize request is detected by its length.
	maxFields = 16 << 10
)

// Field is a field of a frame.
type Field struct{ Name, Value string }

// errFieldsTruncated reports a payload that ends within its fields.
var errFieldsTruncated = errors.New("fields end early")

// parseFields splits a payload into fields and body. A payload starts with the number of fields (1 byte), followed for
// each by the length of the name (1), the name, the length of the value (2) and the value.
func parseFields(payload []byte) (fields []Field, body []byte, err error) {
	reader := fieldReader{rest: payload}
	for range reader.number(1) {
		f := Field{Name: reader.text(reader.number(1))}
		f.Value = reader.text(reader.number(2))
		if reader.err != nil {
			break
		}
		for _, other := range fields {
			if other.Name == f.Name {
				return nil, nil, fmt.Errorf("field %.40q comes twice", f.Name)
			}
		}
		fields = append(fields, f)
	}
	if reader.err != nil {
		return nil, nil, reader.err
	}
	return fields, reader.rest, nil
}

// fieldReader reads the parts of a payload in order. After the first error it returns zero values.
type fieldReader struct {
	rest []byte
	err  error
}

func (r *fieldReader) take(size int) []byte {
	if r.err != nil || len(r.rest) < size {
		r.err = errFieldsTruncated
		return nil
	}
	part := r.rest[:size]
	r.rest = r.rest[size:]
	return part
}

func (r *fieldReader) text(size int) string { return string(r.take(size)) }

// number reads a big-endian number of size bytes.
func (r *fieldReader) number(size int) int {
	n := 0
	for _, b := range r.take(size) {
		n = n<<8 | int(b)
	}
	return n
}

func appendFields(b []byte, fields []Field) []byte {
	b = append(b, byte(len(fields)))
	for _, f := range fields {
		b = append(append(b, byte(len(f.Name))), f.Name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(f.Value))), f.Value...)
	}
	return b
}

// beginFrame appends a frame without payload and returns its offset, which endFrame takes to set the length.
func beginFrame(b []byte, kind frameType, stream uint32) (extended []byte, start int) {
	start = len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint32(b, stream), start
}

func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// frame is a frame from a client. Its payload is valid until the next call of the framer.
type frame struct {
	kind     frameType
	stream   uint32
	payload  []byte
	oversize bool // longer than any valid request; the payload is skipped
}

// errFrameLength is wrapped by the error for a frame with an invalid length.
var errFrameLength = errors.New("frame length")

// framer splits the bytes from a client into frames. It buffers nothing of frames with an excessive length.
type framer struct {
	buf  []byte
	skip int // remaining bytes of an oversize frame
}

// idle reports whether no frame is incomplete.
func (f *framer) idle() bool { return len(f.buf) == 0 && f.skip == 0 }

func (f *framer) feed(data []byte) {
	n := min(f.skip, len(data))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// next returns the next complete frame, or false if none is complete yet. After an error the stream is out of sync.
func (f *framer) next() (fr frame, ok bool, err error) {
	if len(f.buf) < lengthSize {
		return fr, false, nil
	}
	length := uint64(binary.BigEndian.Uint32(f.buf))
	if length < minFrame || length > maxFrame {
		return fr, false, fmt.Errorf("%w %d is not from %d to %d", errFrameLength, length, minFrame, maxFrame)
	}
	if len(f.buf) < headerSize {
		return fr, false, nil
	}
	fr.kind, fr.stream = frameType(f.buf[lengthSize]), binary.BigEndian.Uint32(f.buf[lengthSize+1:])
	size := lengthSize + int(length)
	if size > headerSize+maxFields+MaxBody {
		f.discard(size)
		fr.oversize = true
		return fr, true, nil
	}
	if len(f.buf) < size {
		return fr, false, nil
	}
	fr.payload = f.buf[headerSize:size]
	f.buf = f.buf[size:]
	return fr, true, nil
}

// discard skips a frame of the given size, of which a part may not have been received yet.
func (f *framer) discard(size int) {
	f.skip = size
	received := f.buf
	f.buf = nil
	f.feed(received)
}

// compact releases the memory of frames already read, so that a connection retains only an incomplete frame.
func (f *framer) compact() { f.buf = append([]byte(nil), f.buf...) }
