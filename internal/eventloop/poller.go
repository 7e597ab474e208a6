package eventloop

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// eventHandler handles the epoll events of one registered descriptor.
type eventHandler interface {
	onEvents(events uint32)
}

// registration is a descriptor that the poller watches. Its id is never reused, so that an event of a descriptor that has been
// closed is not delivered to a new registration with the same descriptor number.
type registration struct {
	id       uint64
	fd       int
	interest uint32 // requested events; with 0, epoll reports errors and hang-ups only
	added    bool   // the descriptor has been added to epoll
	handler  eventHandler
}

// poller waits for events of descriptors with epoll and dispatches them. All methods except wake are called on the event loop.
type poller struct {
	kernel   syscalls.Kernel
	log      *slog.Logger
	counters *counters
	epoll    int
	eventFD  int // interrupts a wait

	lastID        uint64
	registrations map[uint64]*registration
	// outdated holds the registrations whose interest could not be passed to epoll for lack of a resource. They are retried
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
	// The eventfd is edge-triggered: its counter is never read, and each write to it causes one event.
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLET}
	if err := kernel.EpollControl(p.epoll, unix.EPOLL_CTL_ADD, p.eventFD, &event); err != nil {
		return nil, errors.Join(err, kernel.Close(p.eventFD), kernel.Close(p.epoll))
	}
	return p, nil
}

// wait waits for events. The timeout is in milliseconds; a negative timeout means no limit.
func (p *poller) wait(events []unix.EpollEvent, timeout int) (int, error) {
	return p.kernel.EpollWait(p.epoll, events, timeout)
}

// wake interrupts a wait. It may be called from any goroutine.
func (p *poller) wake() {
	for errors.Is(p.kernel.Wake(p.eventFD), unix.EINTR) {
		continue
	}
}

// dispatch calls the handlers of the registrations that have events, at least that of the first event. It returns the events that
// remain at the given time.
func (p *poller) dispatch(events []unix.EpollEvent, until time.Time) (remaining []unix.EpollEvent) {
	for i := range events {
		if i > 0 && time.Now().After(until) {
			return events[i:]
		}
		if reg := p.registrations[registrationID(&events[i])]; reg != nil { // the id of the eventfd is no registration's
			reg.handler.onEvents(events[i].Events)
		}
	}
	return nil
}

// registrationID returns the id that an event carries. The id of the eventfd is 0.
func registrationID(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// register starts to watch a descriptor and takes ownership of it. If epoll lacks a resource, adding it is retried later.
func (p *poller) register(fd int, interest uint32, handler eventHandler) *registration {
	p.lastID++
	reg := &registration{id: p.lastID, fd: fd, interest: interest, handler: handler}
	p.registrations[reg.id] = reg
	p.apply(reg)
	return reg
}

// setInterest changes the events for which a descriptor is watched.
func (p *poller) setInterest(reg *registration, interest uint32) {
	if reg.interest != interest {
		reg.interest = interest
		p.apply(reg)
	}
}

// apply passes the interest of a registration to epoll.
func (p *poller) apply(reg *registration) {
	operation := unix.EPOLL_CTL_MOD
	if !reg.added {
		operation = unix.EPOLL_CTL_ADD
	}
	event := unix.EpollEvent{Events: reg.interest, Fd: int32(uint32(reg.id)), Pad: int32(uint32(reg.id >> 32))}
	if err := p.kernel.EpollControl(p.epoll, operation, reg.fd, &event); err != nil {
		p.counters.registrationFailures.Add(1)
		p.log.Warn("failed to register socket with epoll, retrying", "error", err)
		p.outdated[reg.id] = reg
		p.retryAt = time.Now().Add(retryDelay)
		return
	}
	reg.added = true
}

// retryOutdated retries the outdated registrations if the retry is due.
func (p *poller) retryOutdated(now time.Time) {
	if p.retryAt.IsZero() || now.Before(p.retryAt) {
		return
	}
	outdated := p.outdated
	p.outdated, p.retryAt = map[uint64]*registration{}, time.Time{}
	for _, reg := range outdated { // the order does not matter
		p.apply(reg)
	}
}

// unregister removes a descriptor from epoll and closes it. None of its events is dispatched afterwards.
func (p *poller) unregister(reg *registration) {
	delete(p.registrations, reg.id)
	delete(p.outdated, reg.id)
	if reg.added { // close alone does not remove a socket that another descriptor refers to
		_ = p.kernel.EpollControl(p.epoll, unix.EPOLL_CTL_DEL, reg.fd, nil)
	}
	_ = p.kernel.Close(reg.fd) // the descriptor is free even if close fails
}

// close closes the poller's own descriptors.
func (p *poller) close() {
	_ = p.kernel.Close(p.eventFD) // nothing is lost if close fails
	_ = p.kernel.Close(p.epoll)
}
