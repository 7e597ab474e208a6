package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A frame consists of a header, fields, a body and a checksum over fields and body. All numbers are big-endian. The
// header is a mark (1 byte), a command or reply code (1), the length of the fields (2), the length of the body (4) and an
// ID (8).
const (
	headerSize   = 16
	checksumSize = 4

	bodyLengthOffset = 4
	idOffset         = 8

	// maxBody is the maximum length of a body. It leaves room for the header and fields of the frame that forwards the body
	// to a client, which holds at most 262,144 bytes.
	maxBody = 262_144 - 1024
)

// Marks: the first byte of a frame identifies its sender.
const (
	markFrontEnd = 192
	markWorker   = 193
)

// command is the code of a frame sent to a worker.
type command byte

const (
	commandAttempt command = 48
	commandCancel  command = 49
	commandPing    command = 50 // is answered under the same ID, whatever the worker does otherwise
	commandLoad    command = 52
	commandUnload  command = 54
)

// replyCode is the code of a frame from a worker.
type replyCode byte

const (
	replySucceeded      replyCode = 64
	replyReplicaMissing replyCode = 66
	replyRejected       replyCode = 67
	replyFailed         replyCode = 68
	replyNotSent        replyCode = 69
)

// Names of fields, which are encoded as name=value,name=value.
const (
	fieldClass          = "queue"
	fieldFunction       = "path"
	fieldTimeout        = "budget" // milliseconds
	fieldIdempotencyKey = "uniq"
	fieldReplicas       = "slots_up"
	fieldStart          = "detail"
)

// encodeFrame encodes a frame to a worker.
func encodeFrame(code command, id uint64, fields string, body []byte) []byte {
	b := make([]byte, 0, headerSize+len(fields)+len(body)+checksumSize)
	b = append(b, markFrontEnd, byte(code))
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(b, fields...)
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headerSize:]))
}

// reply is a frame from a worker. Its body is only valid until the next call to the framer.
type reply struct {
	code   replyCode
	id     uint64
	fields string
	body   []byte
}

// framer splits the byte stream from a worker into frames. After an error, frame boundaries can no longer be determined,
// and the rest of the stream must not be read.
type framer struct{ buf []byte }

// errMalformed is wrapped by all errors of the framer.
var errMalformed = errors.New("malformed frame")

func (f *framer) feed(data []byte) { f.buf = append(f.buf, data...) }

// next returns the next complete frame, or false if none is complete yet. An excessive length is rejected as soon as
// the header has been received, before the payload is buffered.
func (f *framer) next() (r reply, ok bool, err error) {
	b := f.buf
	if len(b) > 0 && b[0] != markWorker {
		return r, false, fmt.Errorf("%w: first byte is %d, want %d", errMalformed, b[0], markWorker)
	}
	if len(b) < headerSize {
		return r, false, nil
	}
	fieldsLength := int(binary.BigEndian.Uint16(b[2:]))
	bodyLength := binary.BigEndian.Uint32(b[bodyLengthOffset:])
	if bodyLength > maxBody {
		return r, false, fmt.Errorf("%w: body of %d bytes exceeds the maximum of %d", errMalformed, bodyLength, maxBody)
	}
	size := headerSize + fieldsLength + int(bodyLength) + checksumSize
	if len(b) < size {
		return r, false, nil
	}
	payload := b[headerSize : size-checksumSize]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[size-checksumSize:]) {
		return r, false, fmt.Errorf("%w: checksum mismatch", errMalformed)
	}
	r = reply{
		code: replyCode(b[1]), id: binary.BigEndian.Uint64(b[idOffset:]),
		fields: string(payload[:fieldsLength]), body: payload[fieldsLength:],
	}
	f.buf = b[size:]
	return r, true, nil
}

// compact releases the memory of frames already returned, so that a connection retains only an incomplete frame.
func (f *framer) compact() { f.buf = append([]byte(nil), f.buf...) }

// fieldValue returns the value of a field, or "" if it is absent.
func fieldValue(fields, name string) string {
	for fields != "" {
		var pair string
		pair, fields, _ = strings.Cut(fields, ",")
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value
		}
	}
	return ""
}

// fieldCount returns the value of a field as a non-negative integer, or 0 if it is absent or invalid.
func fieldCount(fields, name string) int {
	count, err := strconv.Atoi(fieldValue(fields, name))
	if err != nil || count < 0 {
		return 0
	}
	return count
}
