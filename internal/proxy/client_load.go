package proxy

import "streamcleat/internal/units"

// loadInterval is the interval, in seconds, in which the input of clients is counted and logged.
const loadInterval = 1.0

// clientLoad counts what a client sent in the current interval.
type clientLoad struct {
	bytes, requests, cancelled int
	deferred                   int // attempts that waited because the client had more input than is read in a turn
}

// logClientLoad logs, once in each interval, the client that sent most among those whose attempts were deferred.
func (p *Proxy) logClientLoad(now units.Seconds) {
	if now-p.loadCountedAt < loadInterval {
		return
	}
	p.loadCountedAt = now
	var busiest *Client
	busy := 0
	for _, client := range p.clients {
		if client.load.deferred == 0 {
			continue
		}
		busy++
		if busiest == nil || client.load.bytes > busiest.load.bytes {
			busiest = client
		}
	}
	if busiest != nil {
		load := &busiest.load
		p.log.Warn("client sends more than is read in a turn", "client", busiest.conn.RemoteAddr(), "bytes", load.bytes,
			"requests", load.requests, "cancelled", load.cancelled, "attempts_deferred", load.deferred, "clients", busy)
	}
	for _, client := range p.clients {
		client.load = clientLoad{}
	}
}
