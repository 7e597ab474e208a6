package storage

import (
	"bytes"
	"os"

	"golang.org/x/sys/unix"
)

// bootIDPath holds a random identifier that the kernel generates at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Timestamp is an instant on two clocks that do not depend on the wall clock: service time and uptime. The time between
// two timestamps is known only if they were taken in the same boot; across a reboot only service times are comparable.
type Timestamp struct {
	ServiceTime float64 `cbor:"1,keyasint"` // seconds of service since the store was created, without the time between processes
	BootID      string  `cbor:"2,keyasint"` // boot identifier of the machine; empty if unknown
	Uptime      float64 `cbor:"3,keyasint"` // seconds since that boot
}

// until returns the seconds from t to now. It returns false if that is unknown, because the timestamps are from different
// boots or now is before t.
func (t Timestamp) until(now Timestamp) (float64, bool) {
	if t.BootID == "" || t.BootID != now.BootID || now.Uptime < t.Uptime {
		return 0, false
	}
	return now.Uptime - t.Uptime, true
}

// MachineClock returns the boot identifier and the uptime of the machine. If the clock can't be read, it returns the zero
// Timestamp, for which until always returns false.
func MachineClock() Timestamp {
	bootID, _ := os.ReadFile(bootIDPath) // an empty identifier means that elapsed times are unknown
	var uptime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime) != nil {
		return Timestamp{}
	}
	return Timestamp{BootID: string(bytes.TrimSpace(bootID)), Uptime: float64(uptime.Sec) + float64(uptime.Nsec)/1e9}
}

// now returns the current time with its service time.
func (s *Store) now() Timestamp {
	now := s.options.Clock()
	now.ServiceTime = s.initialServiceTime
	if elapsed, known := s.startedAt.until(now); known {
		now.ServiceTime += elapsed
	}
	return now
}
