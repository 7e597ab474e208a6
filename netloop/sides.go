package netloop

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"streamcleat/control"
	"streamcleat/gateway"
	"streamcleat/workers"
)

// taker hands one client connection's events to the core.
type taker struct {
	s  *Server
	cl *client
}

func (t *taker) Take(slot uint64, ask gateway.Ask) {
	s := t.s
	s.asker++
	s.askers[s.asker] = source{t.cl, slot}
	if s.slots[t.cl] == nil {
		s.slots[t.cl] = map[uint64]gateway.Asker{}
	}
	s.slots[t.cl][slot] = s.asker
	s.core.Take(Now(), s.asker, ask)
}

func (t *taker) HungUp(slot uint64) {
	s := t.s
	if a, ok := s.slots[t.cl][slot]; ok {
		delete(s.slots[t.cl], slot)
		delete(s.askers, a)
		s.core.HungUp(Now(), a)
	}
}

// outside carries out what the core asks for.
type outside Server

func (o *outside) Answer(to gateway.Asker, a gateway.Answer) {
	s := (*Server)(o)
	switch k := &s.keep; { // its note waits for the next commit, or is in the one that is out, or is kept
	case !a.Firm || s.set.Keeper == nil:
		s.answer(to, a)
	case len(k.notes) > 0:
		k.held = append(k.held, held{answer: a, to: to})
	case k.busy:
		k.out = append(k.out, held{answer: a, to: to})
	default:
		s.answer(to, a)
	}
}

func (s *Server) answer(to gateway.Asker, a gateway.Answer) {
	if f := s.inside[to]; f != nil {
		delete(s.inside, to)
		f(a)
		return
	}
	src, ok := s.askers[to]
	if !ok {
		return
	}
	delete(s.askers, to)
	delete(s.slots[src.cl], src.slot)
	src.cl.session.Answer(Now(), src.slot, a)
	s.mark(src.cl)
}

func (o *outside) Launch(l gateway.Launch) {
	if l.Firm && o.set.Keeper != nil {
		o.keep.held = append(o.keep.held, held{launch: &l})
		return
	}
	o.pool.Launch(Now(), l)
}

func (o *outside) Load(order gateway.Order) { o.pool.Load(Now(), order) }

func (o *outside) Abandon(job uint64) {
	o.keep.abandon(job)
	o.pool.Abandon(Now(), job)
}

func (o *outside) Keep(n gateway.Note) {
	if o.set.Keeper != nil {
		o.keep.notes = append(o.keep.notes, n)
	}
}

// Tell sends a message to every peer. A datagram that can't be sent now is lost, as any may be.
func (o *outside) Tell(message []byte) {
	if o.udp == nil {
		return
	}
	h := (*Server)(o).header()
	data := append(append([]byte("SCL1"), h[:]...), message...)
	for _, p := range o.peers {
		o.udp.WriteToUDPAddrPort(data, p)
	}
}

func (o *outside) Ended(a gateway.Answer, t *gateway.Trace) {
	if o.set.Ended != nil {
		o.set.Ended(a, t)
	}
	if o.log.Enabled(context.Background(), -4) || a.Kind != gateway.Handled {
		level := o.log.Debug
		if a.Kind != gateway.Handled {
			level = o.log.Info
		}
		level("event ended", "event", a.Identity.String(), "outcome", a.Kind.String(), "cause", a.Cause.String(),
			"function", a.FunctionID, "worker", a.Worker, "launches", a.Launches, "seconds", a.After)
	}
}

// sink takes what workers answered.
type sink Server

func (k *sink) Launched(job uint64, r gateway.Reply) { k.core.Launched(Now(), job, r) }

func (k *sink) Loaded(job uint64, res control.Result, copies int) {
	k.core.Loaded(Now(), job, res, copies)
}

// wire carries the pool's bytes. Writes and closes wait until the pool's call is over.
type wire Server

func (w *wire) Write(c workers.Conn, data []byte) { w.ops = append(w.ops, op{conn: c, data: data}) }

func (w *wire) Close(c workers.Conn) { w.ops = append(w.ops, op{conn: c, close: true}) }

// Dial connects off the loop, so that a worker that does not answer holds nobody up.
func (w *wire) Dial(no workers.Conn, addr string) {
	s := (*Server)(w)
	limit := time.Duration(s.set.Pool.Dial * float64(time.Second))
	go func() {
		c, err := net.DialTimeout("tcp", addr, limit)
		if err == nil {
			var got <-chan gnet.RegisteredResult
			b := &backend{no: no}
			if got, err = s.loop.Enroll(gnet.NewContext(context.Background(), b), c); err == nil {
				err = (<-got).Err
			}
			if err == nil {
				return // OnOpen tells the pool
			}
			c.Close()
		}
		s.post(func() {
			s.pool.Dialed(Now(), no, err)
			s.settle()
		})
	}()
}
