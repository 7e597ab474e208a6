// Package faults is a double of package syscalls that has calls fail on a schedule. Tests script single faults; soak tests
// draw them from a seed. The release build has no use of it.
package faults

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// Call names a system call, or a use of one.
type Call string

// The calls that can be made to fail.
const (
	Socket   Call = "socket"
	Accept   Call = "accept"
	Connect  Call = "connect"
	Read     Call = "read"
	Write    Call = "write"
	EpollAdd Call = "epoll_ctl"
	Wait     Call = "epoll_wait"
)

// ErrShort has a read or write succeed with a part of its bytes only.
var ErrShort = errors.New("short")

// documented are the errors that the manual pages state for each call and that a correct program can meet. Errors of a
// connection's end (ECONNRESET, ETIMEDOUT) are not among them: peers make those.
var documented = map[Call][]error{
	Socket: {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
	Accept: {
		unix.EINTR, unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO,
		unix.ENETDOWN, unix.EHOSTUNREACH,
	},
	Connect:  {unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH, unix.ENOBUFS, unix.EPERM},
	Read:     {unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, ErrShort},
	Write:    {unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, ErrShort},
	EpollAdd: {unix.ENOMEM, unix.ENOSPC},
	Wait:     {unix.EINTR},
}

// Documented are the errors that a call may be made to fail with.
func Documented(call Call) []error { return documented[call] }

// Kernel passes calls on to the operating system, or has them fail.
type Kernel struct {
	syscalls.Linux
	// Decide returns the error that a call fails with; nil: it is made. Any goroutine may call it.
	Decide func(call Call) error
}

// Socket implements syscalls.Kernel.
func (k Kernel) Socket(family int) (int, error) {
	if err := k.Decide(Socket); err != nil {
		return -1, err
	}
	return k.Linux.Socket(family)
}

// Accept implements syscalls.Kernel.
func (k Kernel) Accept(listener int) (int, unix.Sockaddr, error) {
	if err := k.Decide(Accept); err != nil {
		return -1, nil, err
	}
	return k.Linux.Accept(listener)
}

// Connect implements syscalls.Kernel.
func (k Kernel) Connect(fd int, address unix.Sockaddr) error {
	if err := k.Decide(Connect); err != nil {
		return err
	}
	return k.Linux.Connect(fd, address)
}

// Read implements syscalls.Kernel.
func (k Kernel) Read(fd int, buffer []byte) (int, error) {
	switch err := k.Decide(Read); {
	case errors.Is(err, ErrShort):
		return k.Linux.Read(fd, buffer[:1])
	case err != nil:
		return -1, err
	}
	return k.Linux.Read(fd, buffer)
}

// Write implements syscalls.Kernel.
func (k Kernel) Write(fd int, data []byte) (int, error) {
	switch err := k.Decide(Write); {
	case errors.Is(err, ErrShort):
		return k.Linux.Write(fd, data[:1])
	case err != nil:
		return -1, err
	}
	return k.Linux.Write(fd, data)
}

// EpollControl implements syscalls.Kernel.
func (k Kernel) EpollControl(epoll, operation, fd int, event *unix.EpollEvent) error {
	if operation == unix.EPOLL_CTL_ADD {
		if err := k.Decide(EpollAdd); err != nil {
			return err
		}
	}
	return k.Linux.EpollControl(epoll, operation, fd, event)
}

// EpollWait implements syscalls.Kernel.
func (k Kernel) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	if err := k.Decide(Wait); err != nil {
		return -1, err
	}
	return k.Linux.EpollWait(epoll, events, milliseconds)
}

// Script has the next calls of one kind fail with an error, and counts how many did.
type Script struct {
	mu    sync.Mutex
	call  Call
	err   error
	left  int
	count int
}

// Fail has the next calls fail.
func (s *Script) Fail(call Call, err error, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call, s.err, s.left = call, err, times
}

// Count is how many calls have failed.
func (s *Script) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Decide is for Kernel.Decide.
func (s *Script) Decide(call Call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call != s.call || s.left == 0 {
		return nil
	}
	s.left--
	s.count++
	return s.err
}

// Random draws faults from a seed. Now and then a call keeps failing for a while, as it does while a resource lacks.
type Random struct {
	mu     sync.Mutex
	random *rand.Rand
	rate   float64 // of single calls that fail
	until  map[Call]time.Time
	lasts  map[Call]error // fails until then
}

const (
	outageShare   = 0.02                   // of faults that last for a while
	longestOutage = 150 * time.Millisecond // of one that does
)

// NewRandom draws faults from a seed; each call fails with the probability rate.
func NewRandom(seed uint64, rate float64) *Random {
	return &Random{random: rand.New(rand.NewPCG(seed, 0)), rate: rate, until: map[Call]time.Time{}, lasts: map[Call]error{}}
}

// Decide is for Kernel.Decide.
func (r *Random) Decide(call Call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Before(r.until[call]) {
		return r.lasts[call]
	}
	if r.random.Float64() >= r.rate {
		return nil
	}
	errs := documented[call]
	err := errs[r.random.IntN(len(errs))]
	// An interrupted call is made again at once, so that an outage of interruptions would be a busy loop of the double's.
	if !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, ErrShort) && r.random.Float64() < outageShare {
		r.until[call] = time.Now().Add(time.Duration(r.random.Int64N(int64(longestOutage))))
		r.lasts[call] = err
	}
	return err
}
