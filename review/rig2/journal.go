//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// journal is the journal service. Each front end has an address of its own for it, and for each worker.
type journal struct {
	rig *rig

	mu        sync.Mutex
	hosts     []map[string][]host // the hosts of each event; the inner key is "whole" or "changed"
	listeners []net.Listener      // by front end; nil while out of reach
	addresses []string
	conns     []map[net.Conn]bool
	changed   chan struct{} // closed at each event
	// delay, unless nil, returns how long the way to the front ends takes now.
	delay func() time.Duration
}

// host is a worker in an event. Its address depends on the front end.
type host struct {
	worker *worker
	health string
	bornMs int64
}

func newJournal(r *rig, frontEnds int) (*journal, error) {
	j := &journal{rig: r, changed: make(chan struct{})}
	for number := range frontEnds {
		j.listeners = append(j.listeners, nil)
		j.conns = append(j.conns, map[net.Conn]bool{})
		j.addresses = append(j.addresses, "")
		if err := j.up(number); err != nil {
			return nil, err
		}
	}
	return j, nil
}

func (j *journal) address(number int) string { return j.addresses[number] }

// add adds an event.
func (j *journal) add(whole bool, hosts ...host) {
	key := "changed"
	if whole {
		key = "whole"
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hosts = append(j.hosts, map[string][]host{key: hosts})
	for _, h := range hosts {
		j.rig.log("journal", "event %d: %s %s born_ms=%d", len(j.hosts), h.worker.name, h.health, h.bornMs)
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// line returns the event with the given number from 1, as it is told to a front end.
func (j *journal) line(position, number int) map[string]any {
	event := j.hosts[position-1]
	hosts, whole := event["whole"]
	if !whole {
		hosts = event["changed"]
	}
	list := []map[string]any{}
	for _, h := range hosts {
		list = append(list, map[string]any{
			"host": h.worker.name, "dial": h.worker.address(number), "site": "room", "class": h.worker.machine.kind, "block": 1, "health": h.health,
			"share": 1, "born_ms": h.bornMs,
		})
	}
	return map[string]any{"pos": position, "hosts": map[string]any{"seq": position, "whole": whole, "hosts": list}}
}

// known returns the events up to now.
func (j *journal) known(number int) map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	entries := []any{}
	for position := 1; position <= len(j.hosts); position++ {
		entries = append(entries, j.line(position, number))
	}
	return map[string]any{"pos": len(j.hosts), "entries": entries}
}

// up makes the service reachable for a front end.
func (j *journal) up(number int) error {
	listener, err := listen(j.addresses[number])
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.listeners[number], j.addresses[number] = listener, listener.Addr().String()
	j.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			j.mu.Lock()
			j.conns[number][conn] = true
			j.mu.Unlock()
			go j.serve(conn, number)
		}
	}()
	return nil
}

// down breaks off the service for a front end: its connections are closed and new ones are refused.
func (j *journal) down(number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rig.log("journal", "breaks off for n%d", number)
	_ = j.listeners[number].Close()
	for conn := range j.conns[number] {
		_ = conn.Close()
	}
}

func (j *journal) serve(conn net.Conn, number int) {
	defer func() { _ = conn.Close() }()
	request, err := bufio.NewReader(conn).ReadString('\n')
	position := 0
	if _, scanErr := fmt.Sscanf(strings.TrimSpace(request), "tail %d", &position); err != nil || scanErr != nil {
		return
	}
	way := make(chan delayedLine, 1000)
	defer close(way)
	go carry(conn, way)
	for {
		j.mu.Lock()
		changed := j.changed
		var lines []any
		for ; position < len(j.hosts); position++ {
			lines = append(lines, j.line(position+1, number))
		}
		j.mu.Unlock()
		for _, line := range append(lines, position) {
			data, _ := json.Marshal(line)
			next := delayedLine{data: append(data, '\n')}
			if j.delay != nil {
				next.at = time.Now().Add(j.delay())
			}
			select {
			case way <- next:
			default: // the front end has closed the connection
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// delayedLine is a line on its way to a front end.
type delayedLine struct {
	data []byte
	at   time.Time // of its arrival
}

// carry writes lines in order, each when it arrives.
func carry(conn net.Conn, way <-chan delayedLine) {
	for line := range way {
		time.Sleep(time.Until(line.at))
		if _, err := conn.Write(line.data); err != nil {
			_ = conn.Close()
			return
		}
	}
}
