package simulation

import (
	"errors"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"

	"streamcleat/internal/units"
)

// noTornWrite is the value of tornWriteBytes while no fault is to tear a write.
const noTornWrite = -1

// errDiskStopped is the error of a torn write, which stops the machine, and of all later writes.
var errDiskStopped = errors.New("machine stopped")

// disk is the in-memory disk of one machine. It keeps track of which written data is synced. It is also accessed by
// goroutines of the storage library, so a mutex guards the fields that they read.
type disk struct {
	syncDelay units.Seconds // additional duration of a sync in seconds; only accessed by the simulation's goroutine

	mu             sync.Mutex
	fs             *vfs.MemFS
	full           bool
	tornWriteBytes int  // bytes of the next log record that are written before the machine stops, or noTornWrite
	stopped        bool // all writes fail
	ignoreSync     bool // syncs report success without syncing
	tornWrites     int
}

func newDisk() *disk { return &disk{fs: vfs.NewCrashableMem(), tornWriteBytes: noTornWrite} }

// restart prepares the disk for the next process. All written data is kept, or only synced data after a power loss.
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

// snapshot returns a copy of the disk with the contents that the next process would find.
func (d *disk) snapshot() *disk {
	copied := &disk{fs: d.fs, tornWriteBytes: noTornWrite}
	copied.restart(processExit)
	return copied
}

// view returns the file system for one process. It isn't affected by late writes of an earlier process.
func (d *disk) view() vfs.FS { return &diskView{d.fs, d} }

// setFull makes writes fail for lack of space or ends that, and reports whether they failed before.
func (d *disk) setFull(full bool) (wasFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasFull, d.full = d.full, full
	return wasFull
}

// isFull reports whether writes fail for lack of space.
func (d *disk) isFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full
}

// setIgnoreSync makes syncs report success without syncing, or ends that.
func (d *disk) setIgnoreSync(ignore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreSync = ignore
}

// tearNextWrite makes the machine stop after a number of bytes of the next log record.
func (d *disk) tearNextWrite(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tornWriteBytes = bytes
}

// tornWriteCount returns the number of writes that were torn.
func (d *disk) tornWriteCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tornWrites
}

// writeError returns the error with which a write fails at present, or nil.
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

// takeTornWrite reports whether the current write of a log record is torn, and after how many bytes. If it is, the machine
// is stopped.
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

// diskView is a file system that injects the faults of its disk.
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

// diskFile is a file that injects the faults of its disk.
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
