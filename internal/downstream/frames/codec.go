package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// frameType is the type field of a frame.
type frameType byte

const (
	frameRequest        frameType = 1
	frameResponse       frameType = 2
	frameCancel         frameType = 3
	frameReadinessQuery frameType = 4
	frameReadiness      frameType = 5
	frameGoAway         frameType = 6
)

// A frame consists of a length (4 bytes, which the length does not count), a type (1 byte), a stream (4 bytes) and a
// payload. All integers are big-endian. Sizes are in bytes.
const (
	lengthSize     = 4
	headerSize     = lengthSize + minFrameLength
	minFrameLength = 5       // type and stream
	maxFrameLength = 262_144 // type, stream and payload
	// MaxBody is the maximum size of a request's body.
	MaxBody = 16 << 10
	// maxFieldsSize is the maximum size of a request's fields. It allows an oversize request to be detected by the length of
	// its frame.
	maxFieldsSize = 16 << 10
)

// Field is a name and value in the payload of a frame.
type Field struct{ Name, Value string }

// errFieldsTruncated is returned for a payload that ends within its fields.
var errFieldsTruncated = errors.New("fields end early")

// parseFields splits a payload into fields and body. A payload starts with the number of fields (1 byte). Each field
// consists of the length of the name (1 byte), the name, the length of the value (2 bytes) and the value. The rest of the
// payload is the body. Duplicate fields are an error.
func parseFields(payload []byte) (fields []Field, body []byte, err error) {
	reader := fieldReader{rest: payload}
	for range reader.readUint(1) {
		f := Field{Name: reader.readString(reader.readUint(1))}
		f.Value = reader.readString(reader.readUint(2))
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

// fieldReader reads the parts of a payload sequentially. After the first error it returns zero values.
type fieldReader struct {
	rest []byte
	err  error
}

func (r *fieldReader) readBytes(size int) []byte {
	if r.err != nil || len(r.rest) < size {
		r.err = errFieldsTruncated
		return nil
	}
	part := r.rest[:size]
	r.rest = r.rest[size:]
	return part
}

func (r *fieldReader) readString(size int) string { return string(r.readBytes(size)) }

// readUint reads a big-endian unsigned integer of size bytes.
func (r *fieldReader) readUint(size int) int {
	n := 0
	for _, b := range r.readBytes(size) {
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

// beginFrame appends a frame header with a length of 0. The caller appends the payload and passes the returned offset to
// endFrame, which sets the length.
func beginFrame(b []byte, kind frameType, stream uint32) (extended []byte, start int) {
	start = len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint32(b, stream), start
}

func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// frame is a frame received from a client. Its payload is valid until the next call to the framer.
type frame struct {
	kind     frameType
	stream   uint32
	payload  []byte
	oversize bool // longer than any valid request; the payload is discarded
}

// errFrameLength is wrapped by the error for a frame with an invalid length.
var errFrameLength = errors.New("frame length")

// framer splits the byte stream from a client into frames. It does not buffer the payload of oversize frames.
type framer struct {
	buf  []byte
	skip int // bytes of an oversize frame that are still to be discarded
}

// idle reports whether the framer is between frames.
func (f *framer) idle() bool { return len(f.buf) == 0 && f.skip == 0 }

func (f *framer) feed(data []byte) {
	n := min(f.skip, len(data))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// next returns the next frame, or false if it is incomplete. An oversize frame is returned as soon as its header is
// complete. After an error the frame boundaries are lost, so the stream can't be read any further.
func (f *framer) next() (fr frame, ok bool, err error) {
	if len(f.buf) < lengthSize {
		return fr, false, nil
	}
	length := uint64(binary.BigEndian.Uint32(f.buf))
	if length < minFrameLength || length > maxFrameLength {
		return fr, false, fmt.Errorf("%w %d is not from %d to %d", errFrameLength, length, minFrameLength, maxFrameLength)
	}
	if len(f.buf) < headerSize {
		return fr, false, nil
	}
	fr.kind, fr.stream = frameType(f.buf[lengthSize]), binary.BigEndian.Uint32(f.buf[lengthSize+1:])
	size := lengthSize + int(length)
	if size > headerSize+maxFieldsSize+MaxBody {
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

// discard skips a frame of the given size, including the part that has not been received yet.
func (f *framer) discard(size int) {
	f.skip = size
	received := f.buf
	f.buf = nil
	f.feed(received)
}

// compact releases the memory of frames already read, so that only the bytes of an incomplete frame are retained.
func (f *framer) compact() { f.buf = append([]byte(nil), f.buf...) }
