// Package downstream is the client side of the platform's protocol: its frames, and what one connection says and is told.
// It has no socket and no clock. frontend carries a Session's bytes and hands its events to the core.
package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Types of frames.
const (
	request  = 1
	answer   = 2
	takeBack = 3
	askReady = 4
	isReady  = 5
	noMore   = 6
)

// Codes of answers.
const (
	codeServed  = 0
	codeRefused = 8
	codeFailed  = 13
)

const (
	frameLeast = 5       // type and stream
	frameMost  = 262_144 // all that follows the length
	BodyMost   = 16 << 10
	fieldsMost = 16 << 10 // of a request; with this a request can be told too long by its length
	headSize   = 4 + frameLeast
)

// Field is one named text of a frame.
type Field struct{ Name, Value string }

var errFields = errors.New("fields end early")

// readFields takes the fields from the front of a payload and hands out the rest, which is the body.
func readFields(p []byte) (list []Field, body []byte, err error) {
	if len(p) == 0 {
		return nil, nil, errFields
	}
	n := int(p[0])
	p = p[1:]
	text := func(size int) (s string) {
		if err == nil && len(p) < size {
			err = errFields
		}
		if err == nil {
			s, p = string(p[:size]), p[size:]
		}
		return s
	}
	length := func(width int) (n int) {
		for _, b := range []byte(text(width)) {
			n = n<<8 | int(b)
		}
		return n
	}
	for range n {
		f := Field{Name: text(length(1))}
		f.Value = text(length(2))
		if err != nil {
			return nil, nil, err
		}
		for _, other := range list {
			if other.Name == f.Name {
				return nil, nil, fmt.Errorf("field %.40q comes twice", f.Name)
			}
		}
		list = append(list, f)
	}
	return list, p, nil
}

func putFields(b []byte, list []Field) []byte {
	b = append(b, byte(len(list)))
	for _, f := range list {
		b = append(append(b, byte(len(f.Name))), f.Name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(f.Value))), f.Value...)
	}
	return b
}

// putFrame appends a frame without a payload and tells where it begins; endFrame settles its length.
func putFrame(b []byte, kind byte, stream uint32) ([]byte, int) {
	at := len(b)
	b = append(b, 0, 0, 0, 0, kind)
	return binary.BigEndian.AppendUint32(b, stream), at
}

func endFrame(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

func putAnswer(b []byte, kind byte, stream uint32, code byte, fields []Field, body []byte) []byte {
	b, at := putFrame(b, kind, stream)
	return endFrame(append(putFields(append(b, code), fields), body...), at)
}

// frame is one frame as it came. Its payload is valid until the next call of the framer.
type frame struct {
	kind    byte
	stream  uint32
	payload []byte
	long    bool // a request over its bounds: its payload is skipped unread
}

// framer cuts what comes in into frames. Nothing is kept for a length that is refused.
type framer struct {
	buf  []byte
	skip int
}

// idle tells that no frame is half read.
func (f *framer) idle() bool { return len(f.buf) == 0 && f.skip == 0 }

func (f *framer) feed(data []byte) {
	n := min(f.skip, len(data))
	f.skip -= n
	f.buf = append(f.buf, data[n:]...)
}

// next is the next whole frame; false where none is whole yet. An error ends the connection.
func (f *framer) next() (fr frame, ok bool, err error) {
	if len(f.buf) < 4 {
		return fr, false, nil
	}
	size := uint64(binary.BigEndian.Uint32(f.buf))
	if size < frameLeast || size > frameMost {
		return fr, false, fmt.Errorf("frame length %d is not from %d to %d", size, frameLeast, frameMost)
	}
	if len(f.buf) < headSize {
		return fr, false, nil
	}
	fr.kind, fr.stream = f.buf[4], binary.BigEndian.Uint32(f.buf[5:])
	whole := int(size) + 4
	if whole > headSize+fieldsMost+BodyMost {
		f.skip = whole
		kept := f.buf
		f.buf = nil
		f.feed(kept)
		fr.long = true
		return fr, true, nil
	}
	if len(f.buf) < whole {
		return fr, false, nil
	}
	fr.payload = f.buf[headSize:whole]
	f.buf = f.buf[whole:]
	return fr, true, nil
}

// settle lets go of what was read, so that a long connection holds no more than what is half read.
func (f *framer) settle() { f.buf = append([]byte(nil), f.buf...) }
