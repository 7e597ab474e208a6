package simulation

import (
	"errors"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// disk is the disk of one machine: in memory, with what was synced told apart from what was not. It goes wrong on
// order. The store's library calls it from goroutines of its own.
type disk struct {
	mu    sync.Mutex
	fs    *vfs.MemFS
	full  bool
	tear  int     // bytes of the next record that still get onto the disk, after which nothing does; below 0: no order
	cut   bool    // nothing gets onto the disk any more
	lying bool    // it says that it synced and has not
	slow  float64 // seconds that a sync takes beside the usual
	Torn  int
}

var errCut = errors.New("the machine has stopped")

func newDisk() *disk { return &disk{fs: vfs.NewCrashableMem(), tear: -1} }

// restart is what the next process finds: all that was written, or after a loss of power what was synced.
func (d *disk) restart(power bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tear, d.cut = -1, false
	percent := vfs.CrashCloneCfg{}
	if !power {
		percent.UnsyncedDataPercent, percent.RNG = 100, chance(0, "all of it")
	}
	d.fs = d.fs.CrashClone(percent)
}

// view is the disk for one process. What an earlier process still does changes nothing for a later one.
func (d *disk) view() vfs.FS { return &view{d.fs, d} }

type view struct {
	vfs.FS
	d *disk
}

func (v *view) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := v.d.refuse(); err != nil {
		return nil, err
	}
	f, err := v.FS.Create(name, c)
	return v.d.file(f, name), err
}

func (v *view) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	f, err := v.FS.OpenReadWrite(name, c, o...)
	return v.d.file(f, name), err
}

func (v *view) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := v.FS.ReuseForWrite(from, to, c)
	return v.d.file(f, to), err
}

type file struct {
	vfs.File
	d   *disk
	log bool // a write-ahead log
}

func (d *disk) file(f vfs.File, name string) vfs.File {
	if f == nil {
		return nil
	}
	return &file{f, d, strings.HasSuffix(name, ".log")}
}

func (d *disk) refuse() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.cut:
		return errCut
	case d.full:
		return syscall.ENOSPC
	}
	return nil
}

func (f *file) Write(p []byte) (int, error) {
	if err := f.d.refuse(); err != nil {
		return 0, err
	}
	f.d.mu.Lock()
	tear := f.d.tear
	if f.log && tear >= 0 {
		f.d.tear, f.d.cut = -1, true
		f.d.Torn++
	}
	f.d.mu.Unlock()
	if f.log && tear >= 0 {
		n, err := f.File.Write(p[:min(tear, len(p))])
		return n, errors.Join(err, errCut)
	}
	return f.File.Write(p)
}

func (f *file) synced(sync func() error) error {
	if err := f.d.refuse(); err != nil {
		return err
	}
	f.d.mu.Lock()
	lying := f.d.lying
	f.d.mu.Unlock()
	if lying {
		return nil
	}
	return sync()
}

func (f *file) Sync() error     { return f.synced(f.File.Sync) }
func (f *file) SyncData() error { return f.synced(f.File.SyncData) }

func (f *file) SyncTo(n int64) (full bool, err error) {
	err = f.synced(func() error {
		full, err = f.File.SyncTo(n)
		return err
	})
	return
}
