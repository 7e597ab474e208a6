package syscalls

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

func TestClassOf_DependsOnCall(t *testing.T) {
	for _, c := range []struct {
		err                    error
		other, accept, connect Class
	}{
		{unix.EINTR, Interrupted, Interrupted, WouldBlock},
		{unix.EAGAIN, WouldBlock, WouldBlock, Exhausted},
		{unix.EINPROGRESS, Broken, Broken, WouldBlock},
		{unix.EMFILE, Exhausted, Exhausted, Exhausted},
		{unix.EADDRNOTAVAIL, Exhausted, Exhausted, Exhausted},
		{unix.EPERM, Broken, Exhausted, Exhausted},
		{unix.ENETUNREACH, Broken, PeerClosed, Exhausted},
		{unix.ECONNABORTED, Broken, PeerClosed, Broken},
		{unix.ECONNRESET, Broken, PeerClosed, Broken},
		{unix.ECONNREFUSED, Broken, Broken, Broken},
		{unix.EBADF, Broken, Broken, Broken},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			wrapped := fmt.Errorf("call: %w", c.err)
			if got := ClassOf(wrapped); got != c.other {
				t.Errorf("ClassOf: %d, want %d", got, c.other)
			}
			if got := ClassOfAccept(wrapped); got != c.accept {
				t.Errorf("ClassOfAccept: %d, want %d", got, c.accept)
			}
			if got := ClassOfConnect(wrapped); got != c.connect {
				t.Errorf("ClassOfConnect: %d, want %d", got, c.connect)
			}
		})
	}
}
