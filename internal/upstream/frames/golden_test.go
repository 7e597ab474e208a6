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

// The bytes to and from workers over scripted sessions are as they were.
func TestGoldenWorkers(t *testing.T) {
	goldentest.Play(t, "workers", func(*testing.T) goldentest.Actor {
		workers := goldentest.NewFakeWorkers()
		workers.Encode, workers.Show = encode, show
		workers.Pool = frames.NewPool(frames.Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxTotal: 8, MaxPerWorker: 2, MaxStreams: 3, IdempotencyKeyField: "opkey"}, workers, workers)
		return workers
	})
}

// headSize is the length of a head in bytes.
const headSize = 16

// show cuts bytes at the lengths in the heads of frames.
func show(data []byte) []string {
	return goldentest.Frames(data, func(b []byte) int {
		if len(b) < headSize {
			return 0
		}
		return headSize + int(binary.BigEndian.Uint16(b[2:])) + int(binary.BigEndian.Uint32(b[4:])) + 4
	})
}

// encode writes what a worker sends, on its own and not with the code under test: "answer CODE ID [fields]
// [body=text]", "spoilt check|body|length" (a good answer to 1 with that changed) and "bytes HEX".
func encode(verb string, words []string) []byte {
	switch verb {
	case "answer":
		return encodeAnswer(words)
	case "spoilt":
		return encodeSpoilt(words[0])
	case "bytes":
		return goldentest.Hex(words[0])
	}
	return nil
}

func encodeAnswer(words []string) []byte {
	id, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		panic(err)
	}
	fields, body := "", ""
	for _, word := range words[2:] {
		if text, ok := strings.CutPrefix(word, "body="); ok {
			body = text
		} else {
			fields = word
		}
	}
	b := []byte{193, byte(goldentest.Number(words[0]))}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(b, fields+body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headSize:]))
}

func encodeSpoilt(part string) []byte {
	b := encodeAnswer([]string{"64", "1", "detail=hit", "body=out"})
	offset := map[string]int{"check": len(b) - 1, "body": len(b) - 5, "length": 4}[part]
	b = slices.Clone(b)
	b[offset]++
	return b
}
