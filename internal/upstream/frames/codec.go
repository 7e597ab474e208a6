package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A frame is a head, fields, a body and a checksum of fields and body. All numbers are big-endian. The head is a mark
// (1 byte), a command or reply code (1), the length of the fields (2), the length of the body (4) and an id (8).
const (
	headSize     = 16
	checksumSize = 4

	bodyLengthOffset = 4
	idOffset         = 8

	// A reply's body goes on to a client in one frame of at most 262,144 bytes, the rest of which is for its head.
	maxBody = 262_144 - 1024
)

// Marks that begin each frame, by who sends it.
const (
	markGateway = 192
	markWorker  = 193
)

// command is the code of a frame to a worker.
type command byte

const (
	commandAttempt command = 48
	commandCancel  command = 49
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

// Names of fields, as in name=value,name=value.
const (
	fieldClass          = "queue"
	fieldFunction       = "path"
	fieldTimeout        = "budget" // milliseconds
	fieldIdempotencyKey = "uniq"
	fieldReplicas       = "slots_up"
	fieldStart          = "detail"
)

// encodeFrame encodes one frame to a worker.
func encodeFrame(code command, id uint64, fields string, body []byte) []byte {
	b := make([]byte, 0, headSize+len(fields)+len(body)+checksumSize)
	b = append(b, markGateway, byte(code))
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(b, fields...)
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headSize:]))
}

// reply is one frame from a worker. Its body is valid until the framer's next call.
type reply struct {
	code   replyCode
	id     uint64
	fields string
	body   []byte
}

// framer cuts what a worker sends into frames. After an error nothing more of the connection can be trusted.
type framer struct{ buf []byte }

// errMalformed is wrapped by each error of a worker's frames.
var errMalformed = errors.New("frame")

func (f *framer) feed(data []byte) { f.buf = append(f.buf, data...) }

// next returns the next complete frame; false where none is complete yet. Lengths are refused at the head, before
// anything of theirs is kept.
func (f *framer) next() (r reply, ok bool, err error) {
	b := f.buf
	if len(b) > 0 && b[0] != markWorker {
		return r, false, fmt.Errorf("%w: mark %d is not %d", errMalformed, b[0], markWorker)
	}
	if len(b) < headSize {
		return r, false, nil
	}
	fieldsLength := int(binary.BigEndian.Uint16(b[2:]))
	bodyLength := binary.BigEndian.Uint32(b[bodyLengthOffset:])
	if bodyLength > maxBody {
		return r, false, fmt.Errorf("%w: a body of %d bytes, over %d", errMalformed, bodyLength, maxBody)
	}
	size := headSize + fieldsLength + int(bodyLength) + checksumSize
	if len(b) < size {
		return r, false, nil
	}
	payload := b[headSize : size-checksumSize]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[size-checksumSize:]) {
		return r, false, fmt.Errorf("%w: the check does not match", errMalformed)
	}
	r = reply{
		code: replyCode(b[1]), id: binary.BigEndian.Uint64(b[idOffset:]),
		fields: string(payload[:fieldsLength]), body: payload[fieldsLength:],
	}
	f.buf = b[size:]
	return r, true, nil
}

// compact releases what was read, so that a connection holds no more than the incomplete frame.
func (f *framer) compact() { f.buf = append([]byte(nil), f.buf...) }

// fieldValue is the value of one field; "" where it is absent.
func fieldValue(fields, name string) string {
	for fields != "" {
		var pair string
		pair, fields, _ = strings.Cut(fields, ",")
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// fieldCount is the value of a field that counts something; 0 where it is absent or no such number.
func fieldCount(fields, name string) int {
	n, err := strconv.Atoi(fieldValue(fields, name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
