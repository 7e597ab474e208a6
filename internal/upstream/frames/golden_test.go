package frames_test

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"testing"

	"streamcleat/internal/upstream/frames"
	"streamcleat/internal/verification/goldentest"
)

// TestGoldenWorkers compares the bytes exchanged with workers in scripted sessions with the golden transcript.
func TestGoldenWorkers(t *testing.T) {
	goldentest.RunScript(t, "workers", func(*testing.T) goldentest.Actor {
		workers := goldentest.NewFakeWorkers()
		workers.Encode, workers.Format = encode, show
		workers.Pool = frames.NewPool(frames.Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxTotal: 8, MaxPerWorker: 2, MaxStreams: 3, IdempotencyKeyField: "opkey"}, workers, workers)
		return workers
	})
}

// headerSize is the length of a frame's header in bytes.
const headerSize = 16

// show splits bytes into frames by the lengths in their headers.
func show(data []byte) []string {
	return goldentest.FormatFrames(data, func(b []byte) int {
		if len(b) < headerSize {
			return 0
		}
		return headerSize + int(binary.BigEndian.Uint16(b[2:])) + int(binary.BigEndian.Uint32(b[4:])) + 4
	})
}

// encode encodes a script command for what a worker sends, independently of the code under test: "answer CODE ID [fields]
// [body=text]" is a reply, "spoilt check|body|length" a valid reply to exchange 1 with that part corrupted, and "bytes HEX"
// raw data.
func encode(verb string, args []string) []byte {
	switch verb {
	case "answer":
		return encodeReply(args)
	case "spoilt":
		return encodeCorruptReply(args[0])
	case "bytes":
		return goldentest.DecodeHex(args[0])
	}
	return nil
}

func encodeReply(args []string) []byte {
	id, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		panic(err)
	}
	fields, body := "", ""
	for _, word := range args[2:] {
		if text, ok := strings.CutPrefix(word, "body="); ok {
			body = text
		} else {
			fields = word
		}
	}
	b := []byte{193, byte(goldentest.ParseNumber(args[0]))}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(b, fields+body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headerSize:]))
}

func encodeCorruptReply(part string) []byte {
	b := encodeReply([]string{"64", "1", "detail=hit", "body=out"})
	offset := map[string]int{"check": len(b) - 1, "body": len(b) - 5, "length": 4}[part]
	b = slices.Clone(b)
	b[offset]++
	return b
}
