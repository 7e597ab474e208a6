package simulation

import (
	"errors"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// noTear is the number of bytes to a torn write of a disk that no fault tears.
const noTear = -1

// errMachineStopped is the error of a write to the disk of a machine that stopped within an earlier one.
var errMachineStopped = errors.New("the machine has stopped")

// disk is the disk of one machine: in memory, with what was synced kept apart from what was not. The storage library
// calls it from goroutines of its own, so fields that those read are behind the lock.
type disk struct {
	syncDelay float64 // seconds that a sync takes beside the usual; only the simulation's goroutine reads it

	mu         sync.Mutex
	fs         *vfs.MemFS
	full       bool
	tearAfter  int  // bytes of the next log record that still get onto the disk, after which nothing does
	stopped    bool // nothing gets onto the disk any more
	ignoreSync bool // it reports success of syncs that it did not do
	tornWrites int
}

func newDisk() *disk { return &disk{fs: vfs.NewCrashableMem(), tearAfter: noTear} }

// restart leaves what the next process finds: all that was written, or after a loss of power what was synced.
func (d *disk) restart(powerLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tearAfter, d.stopped = noTear, false
	crash := vfs.CrashCloneCfg{}
	if !powerLost {
		crash.UnsyncedDataPercent, crash.RNG = 100, newRand(0, "all of it")
	}
	d.fs = d.fs.CrashClone(crash)
}

// snapshot is a disk with what a restart of the process would find on this one.
func (d *disk) snapshot() *disk {
	copied := &disk{fs: d.fs, tearAfter: noTear}
	copied.restart(false)
	return copied
}

// view returns the disk for one process. What an earlier process still does changes nothing for a later one.
func (d *disk) view() vfs.FS { return &diskView{d.fs, d} }

// writeError is the error of a write now, if any.
func (d *disk) writeError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.stopped:
		return errMachineStopped
	case d.full:
		return syscall.ENOSPC
	}
	return nil
}

// takeTear returns the fault for the write of a log record at hand, which stops the machine.
func (d *disk) takeTear() (bytes int, torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	bytes = d.tearAfter
	if bytes == noTear {
		return 0, false
	}
	d.tearAfter, d.stopped = noTear, true
	d.tornWrites++
	return bytes, true
}

func (d *disk) ignoresSync() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ignoreSync
}

// diskView is a file system that fails as its disk does.
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

// diskFile is a file that fails as its disk does.
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
		if bytes, torn := f.disk.takeTear(); torn {
			n, err := f.File.Write(p[:min(bytes, len(p))])
			return n, errors.Join(err, errMachineStopped)
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
