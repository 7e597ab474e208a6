package eventloop

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// eventHandler handles the events of one registered descriptor.
type eventHandler interface {
	onEvents(events uint32)
}

// registration is a descriptor in the poller. Its id is never reused, so an event of a descriptor that was closed in the
// meantime is not delivered to its successor.
type registration struct {
	id       uint64
	fd       int
	interest uint32 // events that epoll reports; 0 reports errors only
	added    bool   // epoll has the descriptor
	handler  eventHandler
}

// poller waits for events of descriptors by epoll and dispatches them. All methods but wake are called on the loop.
type poller struct {
	kernel   syscalls.Kernel
	log      *slog.Logger
	counters *counters
	epoll    int
	eventFD  int // ends a wait

	lastID        uint64
	registrations map[uint64]*registration
	// outdated holds the registrations whose interest epoll could not take for lack of a resource. They are applied again
	// at retryAt, which is zero if there are none.
	outdated map[uint64]*registration
	retryAt  time.Time
}

func newPoller(kernel syscalls.Kernel, log *slog.Logger, counters *counters) (*poller, error) {
	p := &poller{
		kernel: kernel, log: log, counters: counters,
		registrations: map[uint64]*registration{}, outdated: map[uint64]*registration{},
	}
	var err error
	if p.epoll, err = kernel.EpollCreate(); err != nil {
		return nil, err
	}
	if p.eventFD, err = kernel.EventFD(); err != nil {
		return nil, errors.Join(err, kernel.Close(p.epoll))
	}
	// Edge-triggered: the counter is never read, and each write to it is one event.
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLET}
	if err := kernel.EpollControl(p.epoll, unix.EPOLL_CTL_ADD, p.eventFD, &event); err != nil {
		return nil, errors.Join(err, kernel.Close(p.eventFD), kernel.Close(p.epoll))
	}
	return p, nil
}

// wait waits for events. A negative timeout, in milliseconds, waits without limit.
func (p *poller) wait(events []unix.EpollEvent, timeout int) (int, error) {
	return p.kernel.EpollWait(p.epoll, events, timeout)
}

// wake ends a wait. It may be called from any goroutine.
func (p *poller) wake() {
	for errors.Is(p.kernel.Wake(p.eventFD), unix.EINTR) {
		continue
	}
}

// dispatch calls the handlers of the registrations that have events.
func (p *poller) dispatch(events []unix.EpollEvent) {
	for i := range events {
		if id := registrationID(&events[i]); id != 0 {
			if registered := p.registrations[id]; registered != nil {
				registered.handler.onEvents(events[i].Events)
			}
		}
	}
}

// registrationID returns the id that an event carries; the wake-up's is 0.
func registrationID(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// register watches a descriptor for events and takes ownership of it. If epoll lacks a resource, it is added later.
func (p *poller) register(fd int, interest uint32, handler eventHandler) *registration {
	p.lastID++
	registered := &registration{id: p.lastID, fd: fd, interest: interest, handler: handler}
	p.registrations[registered.id] = registered
	p.apply(registered)
	return registered
}

// setInterest changes the events that a descriptor is watched for.
func (p *poller) setInterest(registered *registration, interest uint32) {
	if registered.interest != interest {
		registered.interest = interest
		p.apply(registered)
	}
}

// apply passes the interest of a registration to epoll.
func (p *poller) apply(registered *registration) {
	operation := unix.EPOLL_CTL_MOD
	if !registered.added {
		operation = unix.EPOLL_CTL_ADD
	}
	event := unix.EpollEvent{Events: registered.interest, Fd: int32(uint32(registered.id)), Pad: int32(uint32(registered.id >> 32))}
	if err := p.kernel.EpollControl(p.epoll, operation, registered.fd, &event); err != nil {
		p.counters.registrationFailures.Add(1)
		p.log.Warn("failed to register socket with epoll, retrying", "error", err)
		p.outdated[registered.id] = registered
		p.retryAt = time.Now().Add(retryDelay)
		return
	}
	registered.added = true
}

// retryOutdated applies the outdated registrations again if the retry is due.
func (p *poller) retryOutdated(now time.Time) {
	if p.retryAt.IsZero() || now.Before(p.retryAt) {
		return
	}
	outdated := p.outdated
	p.outdated, p.retryAt = map[uint64]*registration{}, time.Time{}
	for _, registered := range outdated { // in any order
		p.apply(registered)
	}
}

// unregister removes a descriptor and closes it. No event of it is dispatched afterwards.
func (p *poller) unregister(registered *registration) {
	delete(p.registrations, registered.id)
	delete(p.outdated, registered.id)
	if registered.added { // close alone does not remove a socket that has another descriptor
		_ = p.kernel.EpollControl(p.epoll, unix.EPOLL_CTL_DEL, registered.fd, nil)
	}
	_ = p.kernel.Close(registered.fd) // the descriptor is free even if close fails
}

// close closes the poller's own descriptors.
func (p *poller) close() {
	_ = p.kernel.Close(p.eventFD) // holds no data
	_ = p.kernel.Close(p.epoll)
}
