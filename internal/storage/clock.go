package storage

import (
	"bytes"
	"os"

	"golang.org/x/sys/unix"
)

// bootIDPath has the identifier that the kernel draws at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Timestamp is a moment on clocks that are independent of the wall clock. The time between two timestamps of the same
// boot is known; across a reboot only the difference of their service times is.
type Timestamp struct {
	ServiceTime float64 `cbor:"1,keyasint"` // seconds of service since the store was created
	BootID      string  `cbor:"2,keyasint"` // boot identifier of the machine; empty when it is unknown
	Uptime      float64 `cbor:"3,keyasint"` // seconds since that boot
}

// since returns the seconds from t to the later timestamp now. It reports false when the time between them is unknown.
func (t Timestamp) since(now Timestamp) (float64, bool) {
	if t.BootID == "" || t.BootID != now.BootID || now.Uptime < t.Uptime {
		return 0, false
	}
	return now.Uptime - t.Uptime, true
}

// MachineClock returns the boot identifier of the machine and the seconds since its boot. It returns the zero
// Timestamp when the clock can't be read: the time from or to it is then unknown.
func MachineClock() Timestamp {
	boot, _ := os.ReadFile(bootIDPath) // an empty identifier makes every span unknown
	var uptime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime) != nil {
		return Timestamp{}
	}
	return Timestamp{BootID: string(bytes.TrimSpace(boot)), Uptime: float64(uptime.Sec) + float64(uptime.Nsec)/1e9}
}

// now returns the present time, including the service time.
func (s *Store) now() Timestamp {
	now := s.options.Clock()
	now.ServiceTime = s.initialServiceTime
	if elapsed, known := s.startedAt.since(now); known {
		now.ServiceTime += elapsed
	}
	return now
}
