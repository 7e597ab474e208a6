package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	mebibyte = 1 << 20
	// memoryInterval is the interval at which the memory of processes is read.
	memoryInterval = 50 * time.Millisecond
	// pageBytes is the unit of the figures in /proc/PID/statm.
	pageBytes = 4096
)

// watchMemory reads the resident memory of a process until it ends. Like the platform, it kills a process that takes more than its
// limit, which is a violation.
func (f *frontEnd) watchMemory(p *process) {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(memoryInterval):
		}
		resident, err := residentBytes(p.cmd.Process.Pid)
		if err != nil {
			continue // the process has ended
		}
		f.harness.recordMemory(resident)
		if limit := int64(f.harness.settings.MemoryMB) * mebibyte; resident > limit {
			f.harness.violate("memory", "%s takes %d MB of %d", f.processName(), resident/mebibyte, limit/mebibyte)
			f.kill()
			return
		}
	}
}

// residentBytes returns the resident memory of a process, with the pages of its program file.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm: %q", pid, data)
	}
	resident, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return resident * pageBytes, err
}

// recordMemory records the resident memory of a front end.
func (h *harness) recordMemory(resident int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.PeakMemory = max(h.result.PeakMemory, resident)
}
