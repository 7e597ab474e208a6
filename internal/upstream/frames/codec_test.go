package frames

import (
	"fmt"
	"testing"
)

// encodeReply encodes a reply as a worker sends it.
func encodeReply(code replyCode, id uint64, fields, body string) []byte {
	b := encodeFrame(command(code), id, fields, []byte(body))
	b[0] = markWorker
	return b
}

// FuzzFramer checks that the framer yields the same frames and errors however its input is split.
func FuzzFramer(f *testing.F) {
	f.Add(encodeReply(replySucceeded, 7, "detail=hit", "body"), uint8(3))
	f.Add([]byte{markWorker, 64, 255, 255, 255, 255, 255, 255}, uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, splitSize uint8) {
		read := func(step int) string {
			var got string
			var fr framer
			for rest := in; len(rest) > 0; {
				n := min(step, len(rest))
				fr.feed(rest[:n])
				rest = rest[n:]
				for {
					reply, ok, err := fr.next()
					if err != nil {
						return got + "!"
					}
					if !ok {
						break
					}
					if string(reply.body) != "" || reply.fields != "" {
						got += fmt.Sprintf("%d %d %q %q;", reply.code, reply.id, reply.fields, reply.body)
					}
				}
				fr.compact()
			}
			return got
		}
		if unsplit, split := read(len(in)+1), read(int(splitSize)+1); unsplit != split {
			t.Errorf("unsplit input: %q; split input: %q", unsplit, split)
		}
	})
}
