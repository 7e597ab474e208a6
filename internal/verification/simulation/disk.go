package simulation

import (
	"errors"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"

	"streamcleat/internal/units"
)

// noTornWrite is the value of tearAfter without a fault.
const noTornWrite = -1

// errDiskStopped is returned for writes after a torn one, which stops the machine.
var errDiskStopped = errors.New("machine stopped")

// disk is the disk of one machine, in memory. It distinguishes synced data from written data. Goroutines of the storage
// library use it, so a lock guards the fields that they read.
type disk struct {
	syncDelay units.Seconds // additional seconds of a sync; only used by the simulation's goroutine

	mu             sync.Mutex
	fs             *vfs.MemFS
	full           bool
	tornWriteBytes int  // bytes of the next log record that are written before the machine stops
	stopped        bool // all writes fail
	ignoreSync     bool // syncs succeed without effect
	tornWrites     int
}

func newDisk() *disk { return &disk{fs: vfs.NewCrashableMem(), tornWriteBytes: noTornWrite} }

// restart prepares the disk for the next process: it keeps the written data, or after a power loss the synced data.
func (d *disk) restart(after exitKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tornWriteBytes, d.stopped = noTornWrite, false
	crash := vfs.CrashCloneCfg{}
	if after != powerLoss {
		crash.UnsyncedDataPercent, crash.RNG = 100, newRand(0, "all of it")
	}
	d.fs = d.fs.CrashClone(crash)
}

// snapshot returns a copy of the disk as the next process would find it.
func (d *disk) snapshot() *disk {
	copied := &disk{fs: d.fs, tornWriteBytes: noTornWrite}
	copied.restart(processExit)
	return copied
}

// view returns the file system for one process. Late writes of an earlier process don't affect it.
func (d *disk) view() vfs.FS { return &diskView{d.fs, d} }

// writeError returns the error that a write has now, if any.
func (d *disk) writeError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.stopped:
		return errDiskStopped
	case d.full:
		return syscall.ENOSPC
	}
	return nil
}

// takeTornWrite reports whether the present write of a log record is torn, and after how many bytes. If so, it stops the
// machine.
func (d *disk) takeTornWrite() (bytes int, torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	bytes = d.tornWriteBytes
	if bytes == noTornWrite {
		return 0, false
	}
	d.tornWriteBytes, d.stopped = noTornWrite, true
	d.tornWrites++
	return bytes, true
}

func (d *disk) ignoresSync() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ignoreSync
}

// diskView is a file system with the faults of its disk.
type diskView struct {
	vfs.FS
	disk *disk
}

// Create implements vfs.FS.
func (v *diskView) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := v.disk.writeError(); err != nil {
		return nil, err
	}
	f, err := v.FS.Create(name, category)
	return v.wrap(f, name), err
}

// OpenReadWrite implements vfs.FS.
func (v *diskView) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	f, err := v.FS.OpenReadWrite(name, category, options...)
	return v.wrap(f, name), err
}

// ReuseForWrite implements vfs.FS.
func (v *diskView) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := v.FS.ReuseForWrite(from, to, category)
	return v.wrap(f, to), err
}

func (v *diskView) wrap(f vfs.File, name string) vfs.File {
	if f == nil {
		return nil
	}
	return &diskFile{f, v.disk, strings.HasSuffix(name, ".log")}
}

// diskFile is a file with the faults of its disk.
type diskFile struct {
	vfs.File
	disk  *disk
	isLog bool // a write-ahead log
}

// Write implements vfs.File.
func (f *diskFile) Write(p []byte) (int, error) {
	if err := f.disk.writeError(); err != nil {
		return 0, err
	}
	if f.isLog {
		if bytes, torn := f.disk.takeTornWrite(); torn {
			n, err := f.File.Write(p[:min(bytes, len(p))])
			return n, errors.Join(err, errDiskStopped)
		}
	}
	return f.File.Write(p)
}

// Sync implements vfs.File.
func (f *diskFile) Sync() error { return f.syncWith(f.File.Sync) }

// SyncData implements vfs.File.
func (f *diskFile) SyncData() error { return f.syncWith(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *diskFile) SyncTo(length int64) (full bool, err error) {
	err = f.syncWith(func() error {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, err
}

func (f *diskFile) syncWith(doSync func() error) error {
	if err := f.disk.writeError(); err != nil {
		return err
	}
	if f.disk.ignoresSync() {
		return nil
	}
	return doSync()
}
