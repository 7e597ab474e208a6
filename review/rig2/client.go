//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// client sends requests to one front end, at most 32 on a connection.
type client struct {
	rig      *rig
	frontEnd *frontEnd
	class    string
	tenant   string
	timeout  time.Duration
	profile  string

	mu    sync.Mutex
	conns []*clientConn
	wait  sync.WaitGroup
}

type clientConn struct {
	conn   net.Conn
	last   uint32
	open   map[uint32]func(code int, body string)
	usedAt time.Time
	goAway bool
	ended  bool
}

// answer is the end of a request for its client. Code -1 means that the connection ended, -2 that no answer came in time.
type answer struct {
	code int
	body string
}

const (
	connectionEnded = -1
	noAnswer        = -2
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()>>1|1) }

// send sends a request and calls done with its end.
func (c *client) send(id, function, body string, done func(answer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.pick()
	if cc == nil {
		c.rig.log("client", "%s to %s: no connection", id, c.frontEnd.name())
		return
	}
	cc.last++
	stream := cc.last
	result := make(chan answer, 1)
	cc.open[stream] = func(code int, body string) { result <- answer{code, body} }
	cc.usedAt = time.Now()
	frame := requestFrame(stream, []string{
		"kind", c.class, "req", id, "timeout", strconv.FormatInt(c.timeout.Milliseconds(), 10), "owner", c.tenant,
		"subject", function, "ms", "100", "more", c.profile,
	}, body)
	c.rig.log("client", "%s to %s for %s", id, c.frontEnd.name(), function)
	_, _ = cc.conn.Write(frame)
	c.wait.Go(func() {
		end := answer{code: noAnswer}
		select {
		case end = <-result:
		case <-time.After(c.timeout + 600*time.Millisecond):
		}
		c.rig.log("client", "%s ends: code=%d %.40q", id, end.code, end.body)
		if done != nil {
			done(end)
		}
	})
}

// pick returns a connection with room. Connections that were idle for 4 s are closed.
func (c *client) pick() *clientConn {
	for _, cc := range c.conns {
		if !cc.ended && len(cc.open) == 0 && time.Since(cc.usedAt) > 4*time.Second {
			_ = cc.conn.Close()
			cc.ended = true
		}
		if !cc.ended && !cc.goAway && len(cc.open) < 32 {
			return cc
		}
	}
	conn, err := net.DialTimeout("tcp", c.frontEnd.listen, time.Second)
	if err != nil {
		return nil
	}
	cc := &clientConn{conn: conn, open: map[uint32]func(int, string){}, usedAt: time.Now()}
	c.conns = append(c.conns, cc)
	go c.read(cc)
	return cc
}

func (c *client) read(cc *clientConn) {
	in := bufio.NewReader(cc.conn)
	for {
		kind, stream, payload, err := readClientFrame(in)
		if err != nil {
			break
		}
		c.mu.Lock()
		switch {
		case kind == 6:
			cc.goAway = true
		case kind == 2 && cc.open[stream] != nil && len(payload) > 0:
			cc.usedAt = time.Now()
			cc.open[stream](int(payload[0]), answerBody(payload))
			delete(cc.open, stream)
		case kind == 2:
			c.rig.log("client", "unexpected answer on stream %d of %s: %q", stream, c.frontEnd.name(), payload)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.ended = true
	for _, end := range cc.open {
		end(connectionEnded, "")
	}
	clear(cc.open)
	_ = cc.conn.Close()
}

// flow sends requests at an even rate from one time to another.
func (c *client) flow(from, to time.Duration, perSecond float64, function func(n int) string) {
	step := time.Duration(float64(time.Second) / perSecond)
	for n, at := 0, from; at < to; n, at = n+1, at+step {
		c.rig.sleepUntil(at)
		id := newID()
		c.send(id, function(n), "body-"+id, nil)
	}
}

func requestFrame(stream uint32, fields []string, body string) []byte {
	payload := binary.BigEndian.AppendUint32([]byte{1}, stream)
	payload = append(payload, byte(len(fields)/2))
	for i := 0; i < len(fields); i += 2 {
		payload = append(append(payload, byte(len(fields[i]))), fields[i]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(fields[i+1]))), fields[i+1]...)
	}
	payload = append(payload, body...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

func readClientFrame(in io.Reader) (kind byte, stream uint32, payload []byte, err error) {
	header := make([]byte, 9)
	if _, err = io.ReadFull(in, header); err != nil {
		return
	}
	payload = make([]byte, binary.BigEndian.Uint32(header)-5)
	_, err = io.ReadFull(in, payload)
	return header[4], binary.BigEndian.Uint32(header[5:]), payload, err
}

// answerBody returns the body behind the code and the fields of an answer.
func answerBody(payload []byte) string {
	rest := payload[1:]
	if len(rest) == 0 {
		return ""
	}
	count := int(rest[0])
	rest = rest[1:]
	for range count {
		name := int(rest[0])
		value := int(binary.BigEndian.Uint16(rest[1+name:]))
		rest = rest[1+name+2+value:]
	}
	return string(rest)
}
