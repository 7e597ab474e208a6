// Package exclusive provides a lock that prevents tests of different packages from running concurrently. It is meant for
// tests that run many processes or workers and check real-time limits: go test runs packages in parallel, and the load of
// one such test can delay another by tenths of a second.
package exclusive

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// lockName is the name of the lock file in the system's temporary folder. The kernel releases the lock when its process
// ends.
const lockName = "streamcleat-real-time-tests.lock"

// Acquire waits until no other test holds the lock, and holds it until the test and its subtests have ended.
func Acquire(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), lockName), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() }) // releases the lock
	for {
		err := unix.Flock(int(file.Fd()), unix.LOCK_EX)
		if err == nil {
			return
		}
		if err != unix.EINTR {
			t.Fatal(err)
		}
	}
}
