package openinference_test

import (
	"fmt"
	"strings"
	"testing"

	"streamcleat/internal/http1"
	"streamcleat/internal/upstream/openinference"
	"streamcleat/internal/verification/goldentest"
)

// TestGoldenWorkers plays scripted sessions with workers and compares the exchanged text with the golden transcript.
func TestGoldenWorkers(t *testing.T) {
	goldentest.RunScript(t, "workers", func(*testing.T) goldentest.Actor {
		workers := goldentest.NewFakeWorkers()
		workers.Encode, workers.Format = encode, goldentest.FormatLines
		workers.Pool = openinference.NewPool(openinference.Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxPerWorker: 2, Message: http1.Limits{Head: 1000, Body: 500}, Via: "front-1"}, workers, workers)
		return workers
	})
}

// encode encodes the output of a worker for a script command: "answer STATUS [body=text] [field: value]" is a response,
// and "raw TEXT" is sent unchanged.
func encode(verb string, args []string) []byte {
	switch verb {
	case "answer":
		var fields strings.Builder
		body := ""
		for _, word := range args[1:] {
			if text, ok := strings.CutPrefix(word, "body="); ok {
				body = text
			} else {
				fields.WriteString(word + "\r\n")
			}
		}
		return fmt.Appendf(nil, "HTTP/1.1 %s Word\r\n%sContent-Length: %d\r\n\r\n%s", args[0], fields.String(), len(body), body)
	case "raw":
		return []byte(strings.Join(args, ""))
	}
	return nil
}
