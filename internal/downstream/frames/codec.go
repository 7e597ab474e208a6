package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// frameType is the kind of a frame.
type frameType byte

const (
	frameRequest        frameType = 1
	frameResponse       frameType = 2
	frameCancel         frameType = 3
	frameReadinessQuery frameType = 4
	frameReadiness      frameType = 5
	frameGoAway         frameType = 6
)

// responseCode is the result that a response or a readiness frame states.
type responseCode byte

const (
	codeSucceeded responseCode = 0
	codeRejected  responseCode = 8
	codeFailed    responseCode = 13
)

// A frame is a length (4 bytes, not counted in itself), a type (1), a stream (4) and a payload. All numbers are
// big-endian. Sizes are in bytes.
const (
	lengthSize = 4
	headSize   = lengthSize + minFrame
	minFrame   = 5       // type and stream
	maxFrame   = 262_144 // all that follows the length
	// MaxBody is the longest body of a request.
	MaxBody = 16 << 10
	// maxFields bounds the fields of a request, so that one that is too long can be told by its length.
	maxFields = 16 << 10
)

// Field is one named text of a frame.
type Field struct{ Name, Value string }

// errFieldsCutOff is the error of a payload that ends within its fields.
var errFieldsCutOff = errors.New("fields end early")

// parseFields reads the fields at the front of a payload and returns them with the rest, which is the body. A payload
// has the number of fields (1 byte), then of each the length of the name (1), the name, the length of the value (2) and
// the value.
func parseFields(payload []byte) (list []Field, body []byte, err error) {
	reader := fieldReader{rest: payload}
	for range reader.number(1) {
		f := Field{Name: reader.text(reader.number(1))}
		f.Value = reader.text(reader.number(2))
		if reader.err != nil {
			break
		}
		for _, other := range list {
			if other.Name == f.Name {
				return nil, nil, fmt.Errorf("field %.40q comes twice", f.Name)
			}
		}
		list = append(list, f)
	}
	if reader.err != nil {
		return nil, nil, reader.err
	}
	return list, reader.rest, nil
}

// fieldReader reads the parts of a payload in turn. After its first error it reads nothing more.
type fieldReader struct {
	rest []byte
	err  error
}

func (r *fieldReader) take(size int) []byte {
	if r.err != nil || len(r.rest) < size {
		r.err = errFieldsCutOff
		return nil
	}
	part := r.rest[:size]
	r.rest = r.rest[size:]
	return part
}

func (r *fieldReader) text(size int) string { return string(r.take(size)) }

// number reads a big-endian number of size bytes; 0 after an error.
func (r *fieldReader) number(size int) (n int) {
	for _, b := range r.take(size) {
		n = n<<8 | int(b)
	}
	return n
}

func appendFields(b []byte, list []Field) []byte {
	b = append(b, byte(len(list)))
	for _, f := range list {
		b = append(append(b, byte(len(f.Name))), f.Name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(f.Value))), f.Value...)
	}
	return b
}

// beginFrame appends a frame without a payload and returns where it begins; endFrame sets its length.
func beginFrame(b []byte, kind frameType, stream uint32) (begun []byte, start int) {
	start = len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	return binary.BigEndian.AppendUint32(b, stream), start
}

func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

func appendResponse(b []byte, kind frameType, stream uint32, code responseCode, fields []Field, body []byte) []byte {
	b, start := beginFrame(b, kind, stream)
	b = appendFields(append(b, byte(code)), fields)
	return endFrame(append(b, body...), start)
}

// frame is one frame of a client. Its payload is valid until the next call of the framer.
type frame struct {
	kind     frameType
	stream   uint32
	payload  []byte
	oversize bool // longer than any request may be: its payload is skipped unread
}

// errFrameLength is wrapped by the error of a frame whose length no frame may have.
var errFrameLength = errors.New("frame length")

// framer cuts what a client sends into frames. Nothing is kept for a length that is refused.
type framer struct {
	buf  []byte
	skip int // bytes of an oversize frame that are still to come
}

// idle reports that no frame is incomplete.
func (f *framer) idle() bool { return len(f.buf) == 0 && f.skip == 0 }

func (f *framer) feed(data []byte) {
	n := min(f.skip, len(data))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// next returns the next complete frame; false where none is complete yet. An error ends the connection.
func (f *framer) next() (fr frame, ok bool, err error) {
	if len(f.buf) < lengthSize {
		return fr, false, nil
	}
	length := uint64(binary.BigEndian.Uint32(f.buf))
	if length < minFrame || length > maxFrame {
		return fr, false, fmt.Errorf("%w %d is not from %d to %d", errFrameLength, length, minFrame, maxFrame)
	}
	if len(f.buf) < headSize {
		return fr, false, nil
	}
	fr.kind, fr.stream = frameType(f.buf[lengthSize]), binary.BigEndian.Uint32(f.buf[lengthSize+1:])
	size := lengthSize + int(length)
	if size > headSize+maxFields+MaxBody {
		f.discard(size)
		fr.oversize = true
		return fr, true, nil
	}
	if len(f.buf) < size {
		return fr, false, nil
	}
	fr.payload = f.buf[headSize:size]
	f.buf = f.buf[size:]
	return fr, true, nil
}

// discard drops a frame of that size, of which a part may still be to come.
func (f *framer) discard(size int) {
	f.skip = size
	received := f.buf
	f.buf = nil
	f.feed(received)
}

// compact releases what was read, so that a long connection holds no more than the incomplete frame.
func (f *framer) compact() { f.buf = append([]byte(nil), f.buf...) }
