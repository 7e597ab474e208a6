package frames

import (
	"fmt"
	"testing"
)

// encodeReply is a reply as a worker sends it.
func encodeReply(code replyCode, id uint64, fields, body string) []byte {
	b := encodeFrame(command(code), id, fields, []byte(body))
	b[0] = markWorker
	return b
}

// FuzzFramer: in whatever pieces bytes come, they are read alike.
func FuzzFramer(f *testing.F) {
	f.Add(encodeReply(replySucceeded, 7, "detail=hit", "body"), uint8(3))
	f.Add([]byte{markWorker, 64, 255, 255, 255, 255, 255, 255}, uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		read := func(step int) (got string) {
			var fr framer
			for rest := in; len(rest) > 0; {
				n := min(step, len(rest))
				fr.feed(rest[:n])
				rest = rest[n:]
				for {
					a, ok, err := fr.next()
					if err != nil {
						return got + "!"
					}
					if !ok {
						break
					}
					if string(a.body) != "" || a.fields != "" {
						got += fmt.Sprintf("%d %d %q %q;", a.code, a.id, a.fields, a.body)
					}
				}
				fr.compact()
			}
			return got
		}
		if a, b := read(len(in)+1), read(int(cut)+1); a != b {
			t.Errorf("in one %q, in parts %q", a, b)
		}
	})
}
