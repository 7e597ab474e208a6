package storage

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Memory of the database.
const (
	memTableSize         = 4 << 20 // bytes; the library's default
	memTablesBeforeStall = 4       // memory tables, full ones included, before writes wait for the disk
)

// The state folder.
const (
	stateFolderMode = 0o700    // only the appliance's user may read requests and answers
	probeFileName   = "probe"  // written and removed at each start
	probeSize       = 64 << 10 // bytes
)

// cleanShutdownValue is the value of cleanShutdownKey; only its presence counts.
var cleanShutdownValue = []byte{1}

// Options are the settings of a store.
type Options struct {
	FS          vfs.FS           // file system; nil: the operating system's
	Clock       func() Timestamp // boot and time since boot, without service time; nil: MachineClock
	Retention   float64          // seconds of service for which records of requests are kept
	Log         *slog.Logger     // nil: nothing is logged
	NoSync      bool             // for benchmarks only: writes do not wait for the disk
	Synchronous bool             // the store starts no goroutine: its owner calls Step to commit what is queued
}

// withDefaults returns the options with every unset one replaced by its default.
func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.Clock == nil {
		o.Clock = MachineClock
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// Store is the durable state of one appliance. Its methods may be called from any goroutine.
type Store struct {
	db                 *pebble.DB
	options            Options
	startedAt          Timestamp
	initialServiceTime float64 // seconds of service before this process

	mu     sync.Mutex // guards the fields of this group
	failed error      // the first failed write; no write is tried after it
	queue  []pendingWrite
	closed bool

	wake          chan struct{} // tells the committer that the queue is not empty
	committerDone chan struct{}
	libraryFailed atomic.Bool // the library panicked, perhaps with a lock held: it must not be called again

	CommittedBatches atomic.Int64 // batches committed
	CommittedRecords atomic.Int64 // records in these batches
}

// OpenStore opens or creates the store in a folder and recovers what an earlier process left. A corrupt store is
// renamed, the readable part of it is copied into a new store, and RecoveredState.QuarantinePath says where it is.
func OpenStore(dir string, options Options) (*Store, *RecoveredState, error) {
	options = options.withDefaults()
	if err := options.FS.MkdirAll(dir, stateFolderMode); err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	if err := checkWritable(dir, options.FS); err != nil {
		return nil, nil, fmt.Errorf("state folder %s can't be written: %w", dir, err)
	}
	db, err := openDatabase(dir, options)
	switch {
	case err == nil:
		return recoverStore(dir, db, options)
	case isLocked(err):
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, ErrInUse)
	case isCorruption(err):
		return replaceCorruptStore(dir, options, newRecoveredState(), err)
	}
	return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
}

// recoverStore reads the state out of an open database and starts the store. Only a corrupt database is replaced: one
// on a disk that fails for now, or of another format, is left as it is.
func recoverStore(dir string, db *pebble.DB, options Options) (*Store, *RecoveredState, error) {
	state, err := readState(db, options)
	if err == nil {
		s, err := newStore(db, options)
		return s, state, err
	}
	_ = db.Close() // the error of the read is the one to report
	if !isCorruption(err) {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	return replaceCorruptStore(dir, options, state, err)
}

// checkWritable writes and removes a file, because the library would retry the writes of its log without end on a
// disk that takes none.
func checkWritable(dir string, fs vfs.FS) error {
	name := fs.PathJoin(dir, probeFileName)
	file, err := fs.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, probeSize))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), fs.Remove(name))
}

// openDatabase opens or creates the database in a folder.
func openDatabase(dir string, options Options) (db *pebble.DB, err error) {
	defer recoverLibraryPanic(&err)
	listener := &pebble.EventListener{
		DataCorruption: func(info pebble.DataCorruptionInfo) { // without it the library treats corruption as fatal
			options.Log.Error("the state is corrupt", "file", info.Path, "error", info.Details)
		},
	}
	return pebble.Open(dir, &pebble.Options{
		FS:                          options.FS,
		Logger:                      pebbleLogger{options.Log},
		MemTableSize:                memTableSize,
		MemTableStopWritesThreshold: memTablesBeforeStall,
		FormatMajorVersion:          pebble.FormatNewest,
		EventListener:               listener,
	})
}

// newStore starts a store on an open database and marks it as being in use.
func newStore(db *pebble.DB, options Options) (*Store, error) {
	s := &Store{
		db:            db,
		options:       options,
		startedAt:     options.Clock(),
		wake:          make(chan struct{}, 1), // one wake-up covers all writes that are queued before it is received
		committerDone: make(chan struct{}),
	}
	// Recovery has read this value without an error, or the database is new.
	if seconds, known, err := readServiceTime(db); err == nil && known {
		s.initialServiceTime = seconds
	}
	if options.Synchronous {
		close(s.committerDone)
	} else {
		go s.commitLoop()
	}
	if err := s.write([]mutation{{formatKey, []byte(formatName)}, {cleanShutdownKey, nil}}); err != nil {
		_ = s.Close() // the error of the write is the one to report
		return nil, fmt.Errorf("state: first write: %w", err)
	}
	return s, nil
}

// Err returns the error after which nothing is written any more, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close commits what is queued, marks the shutdown as clean and closes the database. A second call does nothing.
func (s *Store) Close() error {
	err := s.write([]mutation{{cleanShutdownKey, cleanShutdownValue}})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	<-s.committerDone
	return errors.Join(err, s.closeDatabase())
}

// Drop closes the database as a crash of the process would leave it: queued writes are discarded and their callbacks
// are not called. It is for simulations.
func (s *Store) Drop() error {
	s.mu.Lock()
	wasClosed := s.closed
	s.closed, s.queue = true, nil
	s.mu.Unlock()
	if wasClosed {
		return nil
	}
	close(s.wake)
	<-s.committerDone
	return s.closeDatabase()
}

// closeDatabase closes the database unless the library has failed.
func (s *Store) closeDatabase() (err error) {
	if s.libraryFailed.Load() {
		return ErrLibraryFailed
	}
	defer s.recoverPanic(&err)
	return s.db.Close()
}
