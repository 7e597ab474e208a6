//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"streamcleat/internal/verification/ports"
)

func init() { cases["reset-answer"] = resetAnswer }

// answerText is what the worker has to say.
var answerText = strings.Repeat("price 100;", 400)

// closingWorker answers as HTTP/1.1 allows without a length: the answer ends with the connection. Answers for which broken
// reports true break off in the middle, and the connection is reset.
func closingWorker(r *rig, listener net.Listener, broken func(id string) bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if strings.HasSuffix(request.URL.Path, "/load") {
				body := `{"parameters":{"copies":1}}`
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
				return
			}
			id := request.Header.Get("ce-id")
			r.log("worker", "event %s", id)
			form, half := "", answerText[:len(answerText)/2]
			switch os.Getenv("FORM") { // FORM=length and FORM=chunks: answers that tell where they end
			case "length":
				form = fmt.Sprintf("Content-Length: %d\r\n", len(answerText))
			case "chunks":
				form, half = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", len(answerText), half)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n%s\r\n%s", form, half)
			time.Sleep(100 * time.Millisecond)
			if broken(id) {
				r.log("worker", "breaks off in the middle of the answer to %s", id)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(conn, answerText[len(answerText)/2:])
			if os.Getenv("FORM") == "chunks" {
				_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
			}
			r.log("worker", "whole answer to %s", id)
		}()
	}
}

// resetAnswer: three of ten answers of a worker break off in the middle, and the connection is reset. What was read of the answer
// must not be handed on as a whole one.
func resetAnswer(r *rig) error {
	address, err := ports.Reserve()
	if err != nil {
		return err
	}
	listener, err := ports.Listen("")
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	go closingWorker(r, listener, func(id string) bool { return r.trouble && strings.Contains("2 5 8", id) })
	b := &box{rig: r, config: filepath.Join(r.folder, "box.json"), socket: filepath.Join(r.folder, "box.sock")}
	config, _ := json.Marshal(map[string]any{
		"name": "box-1", "listen": []string{address}, "workers": map[string]any{"file": "workers.json", "keep_warm_s": 8},
		"event_types": []any{
			map[string]any{"name": "shop-event", "target_time_s": 1.5, "max_age_s": 4},
			map[string]any{"name": "price-reset", "target_time_s": 1.5, "max_age_s": 4, "repeat": "at-most-once"},
		},
		"functions": []any{map[string]any{"match": "shop-*", "lanes": 2, "memory_mb": 400, "load_s": 0.7}},
		"state":     map[string]any{"dir": "state"}, "console": map[string]any{"socket": "box.sock"},
		"log": map[string]any{"level": "info", "form": "text"},
	})
	list, _ := json.Marshal([]any{map[string]any{"targets": []string{listener.Addr().String()}, "labels": map[string]string{"instance": "wk-0"}}})
	for name, data := range map[string][]byte{"box.json": config, "workers.json": list} {
		if err := os.WriteFile(filepath.Join(r.folder, name), data, 0o600); err != nil {
			return err
		}
	}
	if err := b.start(); err != nil {
		return err
	}
	defer b.kill()
	for _, n := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 2} { // the last one is a repeat
		class := []string{"shop-event", "price-reset"}[n%2]
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/events", bytes.NewReader([]byte(`{"count":1}`)))
		if err != nil {
			return err
		}
		for name, value := range map[string]string{
			"ce-specversion": "1.0", "ce-source": "/till/7", "ce-id": fmt.Sprint(n), "ce-type": class, "ce-function": "shop-001",
			"Content-Type": "application/json",
		} {
			request.Header.Set(name, value)
		}
		response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
		if err != nil {
			r.log("client", "event %d: %v", n, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.log("client", "event %d (%s): status %d, %d of %d bytes, replayed=%q, %v", n, class, response.StatusCode, len(body), len(answerText),
			response.Header.Get("Idempotent-Replayed"), err)
		if err == nil && response.StatusCode == http.StatusOK && string(body) != answerText {
			r.violate("lost: event %d (%s) was answered 'handled' with %d of the %d bytes of the worker's answer", n, class, len(body), len(answerText))
		}
	}
	return nil
}
