package faults

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

// Call names a system call that can be made to fail.
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

// ErrShort makes a read or write succeed with one byte only.
var ErrShort = errors.New("short")

// documentedErrors holds the errors that the manual pages document for each call and that a correct program can get.
// Errors that a peer causes, such as ECONNRESET and ETIMEDOUT, are left out.
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

// DocumentedErrors returns the errors that a call can be made to fail with.
func DocumentedErrors(call Call) []error { return documentedErrors[call] }

// Kernel passes calls to the operating system or makes them fail. It implements syscalls.Kernel.
type Kernel struct {
	syscalls.Linux
	// Decide returns the error that a call fails with, or nil to make the call. It is called from any goroutine.
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

// decideTransfer returns the part of the buffer that a read or write may transfer, or the error that it fails with.
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

// Fail makes the next calls of a kind fail with err, so many times. It replaces what an earlier Fail left.
func (s *Script) Fail(call Call, err error, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call, s.err, s.remaining = call, err, times
}

// Count returns the number of calls that have failed.
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

// Random draws faults from a seed. Some faults last for a while, as a lack of resources does.
type Random struct {
	mu          sync.Mutex
	random      *rand.Rand
	rate        float64            // probability that a call fails outside an outage
	outageEnd   map[Call]time.Time // a call fails until then
	outageError map[Call]error
}

const (
	// outageFraction is the fraction of faults that last for a while.
	outageFraction = 0.02
	// maxOutage is the maximum duration of such a fault.
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
	// Callers retry these errors at once, so an outage would become a busy loop.
	if !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, ErrShort) && r.random.Float64() < outageFraction {
		r.outageEnd[call] = time.Now().Add(time.Duration(r.random.Int64N(int64(maxOutage))))
		r.outageError[call] = err
	}
	return err
}
