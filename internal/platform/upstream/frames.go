// Package upstream is the worker side of the platform's protocol: its frames, and the connections that carry launches,
// give-ups and load orders. It has no socket and no clock; it speaks to the core as workers.Pool does.
package upstream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

const (
	markOurs   = 192
	markTheirs = 193

	cmdLaunch = 48
	cmdGiveUp = 49
	cmdHold   = 52
	cmdUnload = 54

	ansOK    = 64
	ansMiss  = 66
	ansFull  = 67
	ansError = 68
	ansOver  = 69
	ansAlive = 70

	headSize  = 16
	checkSize = 4
	// An answer's body goes on to a client in one frame of at most 262,144 bytes.
	bodyMost = 262_144 - 1024
)

// putFrame appends one frame of ours.
func putFrame(b []byte, code byte, id uint64, fields string, body []byte) []byte {
	b = append(b, markOurs, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	at := len(b)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[at:]))
}

// frame is one answer. Fields and body are valid until the framer's next call.
type frame struct {
	code   byte
	id     uint64
	fields string
	body   []byte
}

// framer cuts what a worker sends into frames. After an error nothing more of the connection can be trusted.
type framer struct{ buf []byte }

var errCheck = errors.New("frame: the check does not match")

func (f *framer) feed(data []byte) { f.buf = append(f.buf, data...) }

// next is the next whole frame; false where none is whole yet. Lengths are refused at the head, before anything of
// theirs is kept.
func (f *framer) next() (fr frame, ok bool, err error) {
	b := f.buf
	if len(b) > 0 && b[0] != markTheirs {
		return fr, false, fmt.Errorf("frame: mark %d is not %d", b[0], markTheirs)
	}
	if len(b) < headSize {
		return fr, false, nil
	}
	nf, nb := int(binary.BigEndian.Uint16(b[2:])), binary.BigEndian.Uint32(b[4:])
	if nb > bodyMost {
		return fr, false, fmt.Errorf("frame: a body of %d bytes, over %d", nb, bodyMost)
	}
	whole := headSize + nf + int(nb) + checkSize
	if len(b) < whole {
		return fr, false, nil
	}
	rest := b[headSize : whole-checkSize]
	if crc32.ChecksumIEEE(rest) != binary.BigEndian.Uint32(b[whole-checkSize:]) {
		return fr, false, errCheck
	}
	fr = frame{code: b[1], id: binary.BigEndian.Uint64(b[8:]), fields: string(rest[:nf]), body: rest[nf:]}
	f.buf = b[whole:]
	return fr, true, nil
}

// settle lets go of what was read.
func (f *framer) settle() { f.buf = append([]byte(nil), f.buf...) }

// value is one field of name=value,name=value; "" where it is absent.
func value(fields, name string) string {
	for fields != "" {
		var pair string
		pair, fields, _ = strings.Cut(fields, ",")
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// whole is a field that counts something; 0 where it is absent or no such number.
func whole(fields, name string) int {
	n, err := strconv.Atoi(value(fields, name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
