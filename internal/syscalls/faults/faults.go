package faults

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// Call is the name of a system call that can be made to fail.
type Call string

// System calls that can be made to fail.
const (
	Socket   Call = "socket"
	Accept   Call = "accept"
	Connect  Call = "connect"
	Read     Call = "read"
	Write    Call = "write"
	EpollAdd Call = "epoll_ctl"
	Wait     Call = "epoll_wait"
)

// ErrShort makes a read or write transfer one byte only instead of failing.
var ErrShort = errors.New("short")

// documentedErrors holds the errors that the manual page of each call documents and that a correct program can get. Errors
// that the peer causes, such as ECONNRESET and ETIMEDOUT, are excluded.
var documentedErrors = map[Call][]error{
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

// DocumentedErrors returns the errors with which a call can be made to fail.
func DocumentedErrors(call Call) []error { return documentedErrors[call] }

// Kernel implements syscalls.Kernel. It passes calls to the operating system or makes them fail.
type Kernel struct {
	syscalls.Linux
	// Decide returns the error with which a call fails, or nil to make the call. It may be called from any goroutine.
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
	buffer, err := k.decideTransfer(Read, buffer)
	if err != nil {
		return -1, err
	}
	return k.Linux.Read(fd, buffer)
}

// Write implements syscalls.Kernel.
func (k Kernel) Write(fd int, data []byte) (int, error) {
	data, err := k.decideTransfer(Write, data)
	if err != nil {
		return -1, err
	}
	return k.Linux.Write(fd, data)
}

// decideTransfer returns the part of the buffer that a read or write may transfer, or the error with which it fails.
func (k Kernel) decideTransfer(call Call, buffer []byte) ([]byte, error) {
	err := k.Decide(call)
	if errors.Is(err, ErrShort) {
		return buffer[:1], nil
	}
	return buffer, err
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

// Script makes the next calls of one kind fail with an error and counts the failures.
type Script struct {
	mu        sync.Mutex
	call      Call
	err       error
	remaining int
	failures  int
}

// Fail makes the next calls of a kind fail with err, the given number of times. It replaces the faults of an earlier Fail.
func (s *Script) Fail(call Call, err error, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call, s.err, s.remaining = call, err, times
}

// Count returns the number of calls that were made to fail.
func (s *Script) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures
}

// Decide can be used as Kernel.Decide.
func (s *Script) Decide(call Call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call != s.call || s.remaining == 0 {
		return nil
	}
	s.remaining--
	s.failures++
	return s.err
}

// Random makes calls fail at random, reproducibly for a seed. Some faults are outages, during which every call of a kind
// fails, as with a lack of resources.
type Random struct {
	mu          sync.Mutex
	random      *rand.Rand
	rate        float64            // probability that a call fails outside an outage
	outageEnd   map[Call]time.Time // time until which every call of a kind fails
	outageError map[Call]error
}

const (
	// outageFraction is the fraction of faults that start an outage.
	outageFraction = 0.02
	// maxOutage is the maximum duration of an outage.
	maxOutage = 150 * time.Millisecond
)

// NewRandom returns a Random in which each call fails with probability rate.
func NewRandom(seed uint64, rate float64) *Random {
	return &Random{random: rand.New(rand.NewPCG(seed, 0)), rate: rate, outageEnd: map[Call]time.Time{}, outageError: map[Call]error{}}
}

// Decide can be used as Kernel.Decide.
func (r *Random) Decide(call Call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Before(r.outageEnd[call]) {
		return r.outageError[call]
	}
	if r.random.Float64() >= r.rate {
		return nil
	}
	errs := documentedErrors[call]
	err := errs[r.random.IntN(len(errs))]
	// Callers retry these errors immediately, so that an outage of them would cause a busy loop.
	if !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, ErrShort) && r.random.Float64() < outageFraction {
		r.outageEnd[call] = time.Now().Add(time.Duration(r.random.Int64N(int64(maxOutage))))
		r.outageError[call] = err
	}
	return err
}
