package storage

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Memory limits of the database.
const (
	memTableSize         = 4 << 20 // bytes; Pebble's default
	memTablesBeforeStall = 4       // number of memtables, including full ones, at which writes stall
)

// Mode of the state folder, and the file that checkWritable writes in it.
const (
	stateFolderMode = 0o700    // requests and responses are readable only by the appliance's user
	probeFileName   = "probe"  // written and removed at startup and before each attempt to reopen
	probeSize       = 64 << 10 // bytes
)

// cleanShutdownValue is the value of cleanShutdownKey. Only its presence is significant.
var cleanShutdownValue = []byte{1}

// Options configures a store.
type Options struct {
	FS          vfs.FS           // nil means the operating system's file system
	Clock       func() Timestamp // returns boot ID and uptime without service time; nil means MachineClock
	Retention   float64          // how long request records are kept, in seconds of service time
	Log         *slog.Logger     // nil disables logging
	NoSync      bool             // commit without waiting for the sync; for benchmarks only
	Synchronous bool             // start no goroutine and never reopen; the owner calls CommitPending
}

// withDefaults returns a copy of o with defaults for unset fields.
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

// Store is the durable state of one appliance. It is safe for concurrent use.
type Store struct {
	dir                string
	lock               io.Closer // of the folder
	options            Options
	startedAt          Timestamp
	initialServiceTime float64 // service time at startup, in seconds

	databaseMu sync.RWMutex // guards the fields up to the blank line; held during all calls to Pebble
	db         *pebble.DB
	fence      *fence // of db

	mu       sync.Mutex // guards the fields up to the blank line
	writeErr error      // error of the failed write, with which all writes are rejected until the database has been reopened
	queue    []pendingWrite
	closed   bool

	wake          chan struct{} // tells the committer that the queue is not empty
	committerDone chan struct{}
	engineFailed  atomic.Bool // Pebble panicked, possibly while holding a lock; db must not be used again

	CommittedBatches atomic.Int64 // number of batches submitted to Pebble
	CommittedRecords atomic.Int64 // number of request records in these batches
}

// OpenStore opens or creates the store in dir and returns it with the recovered state. A corrupt store is quarantined:
// its folder is renamed to RecoveredState.QuarantinePath, and the readable part is copied into a new store.
func OpenStore(dir string, options Options) (*Store, *RecoveredState, error) {
	options = options.withDefaults()
	if err := options.FS.MkdirAll(dir, stateFolderMode); err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	if err := checkWritable(dir, options.FS); err != nil {
		return nil, nil, fmt.Errorf("state folder %s is not writable: %w", dir, err)
	}
	lock, err := lockFolder(dir, options.FS)
	if err != nil {
		return nil, nil, err
	}
	s, state, err := openLockedStore(dir, options)
	if err != nil {
		return nil, nil, errors.Join(err, lock.Close())
	}
	if s.lock = lock; state.QuarantinePath != "" { // the locked folder was renamed
		_ = lock.Close() // an error is harmless, as no process opens this lock file again
		if s.lock, err = lockFolder(dir, options.FS); err != nil {
			return nil, nil, errors.Join(err, s.Close())
		}
	}
	return s, state, nil
}

// openLockedStore is OpenStore for a folder whose lock is held.
func openLockedStore(dir string, options Options) (*Store, *RecoveredState, error) {
	db, fence, err := openDatabase(dir, options)
	switch {
	case err == nil:
		return recoverStore(dir, db, fence, options)
	case isCorruption(err):
		return replaceCorruptStore(dir, options, newRecoveredState(), err)
	}
	return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
}

// recoverStore reads the state from an open database and starts the store. A corrupt database is replaced. After any other
// error, such as a transient disk failure or an unsupported format, the database is closed and left as it is.
func recoverStore(dir string, db *pebble.DB, fence *fence, options Options) (*Store, *RecoveredState, error) {
	state, err := readState(db, options)
	if err == nil {
		s, err := newStore(dir, db, fence, options)
		return s, state, err
	}
	_ = db.Close() // the read error is returned
	if !isCorruption(err) {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	return replaceCorruptStore(dir, options, state, err)
}

// checkWritable writes and removes a probe file. Without this check, Pebble would retry WAL writes forever on a disk that
// rejects them.
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

// openDatabase opens or creates the database in dir.
func openDatabase(dir string, options Options) (db *pebble.DB, fence *fence, err error) {
	defer recoverEnginePanic(&err)
	fs, fence := newDatabaseFS(options.FS)
	listener := &pebble.EventListener{
		DataCorruption: func(info pebble.DataCorruptionInfo) { // without this callback Pebble treats corruption as fatal
			options.Log.Error("state corruption detected", "file", info.Path, "error", info.Details)
		},
	}
	db, err = pebble.Open(dir, &pebble.Options{
		FS:                          fs,
		Logger:                      pebbleLogger{options.Log, fence},
		MemTableSize:                memTableSize,
		MemTableStopWritesThreshold: memTablesBeforeStall,
		FormatMajorVersion:          pebble.FormatNewest,
		EventListener:               listener,
	})
	return db, fence, err
}

// newStore starts a store on an open database and removes the clean-shutdown marker.
func newStore(dir string, db *pebble.DB, fence *fence, options Options) (*Store, error) {
	s := &Store{
		dir:           dir,
		db:            db,
		fence:         fence,
		options:       options,
		startedAt:     options.Clock(),
		wake:          make(chan struct{}, 1), // one wake-up covers all writes queued before it is received
		committerDone: make(chan struct{}),
	}
	// No error is expected: recovery has already read this value, or the database is new.
	if seconds, known, err := readServiceTime(db); err == nil && known {
		s.initialServiceTime = seconds
	}
	if options.Synchronous {
		close(s.committerDone)
	} else {
		go s.commitLoop()
	}
	if err := s.write([]mutation{{formatKey, []byte(formatName)}, {cleanShutdownKey, nil}}); err != nil {
		_ = s.Close() // the write error is returned
		return nil, fmt.Errorf("initializing state: %w", err)
	}
	return s, nil
}

// Err returns the error with which the store currently rejects writes, or nil if it accepts them.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr
}

// Close commits the queued writes, stores the clean-shutdown marker and closes the database. Further calls do nothing.
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

// Abandon closes the database in the state that a process crash would leave. Queued writes are discarded without calling
// their callbacks. It is used by simulations.
func (s *Store) Abandon() error {
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

// closeDatabase closes the database and unlocks its folder. After a panic of Pebble it discards the database
// and returns ErrEngineFailed.
func (s *Store) closeDatabase() (err error) {
	s.databaseMu.Lock()
	defer s.databaseMu.Unlock()
	if s.lock != nil { // nil while the store is being opened
		defer func() { err = errors.Join(err, s.lock.Close()) }()
	}
	if s.engineFailed.Load() {
		s.discardDatabase()
		return ErrEngineFailed
	}
	defer s.recoverPanic(&err)
	return s.db.Close()
}
