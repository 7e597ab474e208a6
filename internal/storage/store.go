package storage

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"streamcleat/internal/dispatch"
)

// Options of a store. Times are seconds.
type Options struct {
	FS          vfs.FS           // nil: the real one
	Clock       func() Timestamp // machine's start and time since; Run is not read. nil: the real ones
	Retention   float64          // how long notes of events are kept, in time of service
	Log         *slog.Logger
	NoSync      bool // for measurements only: nothing waits for the disk
	Synchronous bool // the store has no goroutine of its own: its owner calls Step when the disk's turn has come
}

// ScheduledRequest is an event of the box itself that had no answer when the last process ended.
type ScheduledRequest struct {
	Request  dispatch.Request
	Due      time.Time
	Deadline time.Time // when it is given up
}

// RecoveredState is what an earlier process left.
type RecoveredState struct {
	Records           []dispatch.RecoveredRecord
	ScheduledRequests []ScheduledRequest
	LastFirings       map[string]time.Time       // by timer entry: the last minute it fired for
	Replicas          []dispatch.ReplicaSnapshot // copies that were believed in, with their ages by now
	AuditTrail        [][]byte                   // entries of the handlers' audit trail, in order
	Config            []byte                     // the last configuration that was in force
	Created           bool                       // there was no store
	QuarantinePath    string                     // where a store that can't be trusted was put; "" where there was none
	UnreadableRecords int                        // records in it that could not be read
	CleanShutdown     bool                       // the last process closed the store
}

// Store is the durable state of one box. Its methods may be called from any goroutine.
type Store struct {
	db      *pebble.DB
	opt     Options
	began   Timestamp
	base    float64 // seconds of service before this process
	mu      sync.Mutex
	failed  error
	queue   []pending
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	broken  atomic.Bool  // the library panicked, maybe with a lock held: it is not entered any more
	Syncs   atomic.Int64 // commits that waited for the disk
	Records atomic.Int64 // notes in them
}

type pending struct {
	ops  []op
	done func(error)
	n    int
}

// ErrInUse tells that another process has the store.
var ErrInUse = errors.New("another process uses this state folder")

var cleanKey = []byte("m/clean")

// MachineClock reads the real clocks: which start of the machine this is, and the seconds since.
func MachineClock() Timestamp {
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return Timestamp{} // nothing is known: every span counts as unknown
	}
	return Timestamp{Boot: string(bytes.TrimSpace(boot)), Up: float64(ts.Sec) + float64(ts.Nsec)/1e9}
}

// OpenStore opens or makes the store in a folder and reads what an earlier process left. A store that is corrupt is
// put aside under a name of its own, what could be read of it is taken over, and Found says so.
func OpenStore(dir string, opt Options) (*Store, *RecoveredState, error) {
	if opt.FS == nil {
		opt.FS = vfs.Default
	}
	if opt.Clock == nil {
		opt.Clock = MachineClock
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if err := opt.FS.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	if err := probe(dir, opt); err != nil {
		return nil, nil, fmt.Errorf("state folder %s can't be written: %w", dir, err)
	}
	db, err := openDB(dir, opt)
	if err == nil {
		found, rerr := read(db, opt)
		if rerr == nil {
			s, err := begin(db, opt, found)
			return s, found, err
		}
		db.Close()
		if !corrupt(rerr) { // a disk that fails for now, or a store of another form: nothing is put aside for that
			return nil, nil, fmt.Errorf("state folder %s: %w", dir, rerr)
		}
		return salvage(dir, opt, found, rerr)
	}
	if locked(err) {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, ErrInUse)
	}
	if corrupt(err) {
		return salvage(dir, opt, &RecoveredState{LastFirings: map[string]time.Time{}}, err)
	}
	return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
}

// probe tells whether the disk takes anything: the library would try without end to write what it finds in its log.
func probe(dir string, opt Options) error {
	name := opt.FS.PathJoin(dir, "probe")
	f, err := opt.FS.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, 64<<10))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), opt.FS.Remove(name))
}

func corrupt(err error) bool {
	return pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist) || strings.Contains(err.Error(), "corrupt") ||
		strings.Contains(err.Error(), "checksum")
}

func locked(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) && strings.Contains(err.Error(), "LOCK") ||
		strings.Contains(err.Error(), "lock held by current process")
}

// salvage puts a store aside and makes a new one with what could be read of it.
func salvage(dir string, opt Options, found *RecoveredState, why error) (*Store, *RecoveredState, error) {
	aside := ""
	for n := 1; ; n++ {
		aside = fmt.Sprintf("%s.set-aside-%d", strings.TrimRight(dir, "/"), n)
		if _, err := opt.FS.Stat(aside); errors.Is(err, os.ErrNotExist) {
			break
		}
	}
	if err := opt.FS.Rename(dir, aside); err != nil {
		return nil, nil, fmt.Errorf("state folder %s is corrupt (%w) and can't be put aside: %v", dir, why, err)
	}
	opt.Log.Error("the state was corrupt: it is set aside, and what could be read of it goes on", "folder", aside,
		"events", len(found.Records), "unread", found.UnreadableRecords, "error", why)
	if err := opt.FS.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	db, err := openDB(dir, opt)
	if err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	found.QuarantinePath, found.Created, found.CleanShutdown = aside, false, false
	s, err := begin(db, opt, found)
	if err != nil {
		return nil, nil, err
	}
	if err := s.refill(found); err != nil {
		s.Close()
		return nil, nil, fmt.Errorf("state folder %s: taking over what was read: %w", dir, err)
	}
	return s, found, nil
}

// refill writes what was taken over from a store that was set aside.
func (s *Store) refill(found *RecoveredState) error {
	now := s.now()
	b := s.db.NewBatch()
	add := func(ops []op, err error) error {
		for _, o := range ops {
			if err == nil {
				err = b.Set(o.key, o.value, nil)
			}
		}
		return err
	}
	for _, k := range found.Records {
		n := k.Record
		if !k.Reliable { // an unknown span: as long ago as can be
			n.FirstRunAgo = math.Inf(1)
		} else {
			n.FirstRunAgo = k.FirstRunAgo
		}
		at := now
		at.Run -= k.Age
		if err := add(noted(n, at)); err != nil {
			return err
		}
	}
	for key, due := range found.LastFirings {
		if err := add(fired(key, due, due, nil)); err != nil {
			return err
		}
	}
	for i := range found.ScheduledRequests {
		ops, err := fired("", found.ScheduledRequests[i].Due, found.ScheduledRequests[i].Deadline, &found.ScheduledRequests[i].Request)
		if err := add(ops[1:], err); err != nil {
			return err
		}
	}
	for i, entry := range found.AuditTrail {
		if err := b.Set(trailKey(i), entry, nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.Sync)
}

func trailKey(no int) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(trailPrefix), uint64(no))
}

// AppendAudit keeps an entry of the handlers' audit trail under its number, counted from 0.
func (s *Store) AppendAudit(no int, entry []byte) error { return s.write([]op{{trailKey(no), entry}}) }

// quiet keeps the library's word of routine out of the log. Its fatal errors must not end the process: the box goes
// on with what needs no state.
type quiet struct{ log *slog.Logger }

func (q quiet) Infof(string, ...any)              {}
func (q quiet) Errorf(format string, args ...any) { q.log.Error(fmt.Sprintf(format, args...)) }
func (q quiet) Fatalf(format string, args ...any) {
	q.log.Error(fmt.Sprintf(format, args...))
	panic(fmt.Errorf(format, args...))
}

// caught turns a panic of the library over a failed disk into an error. One in a background goroutine of its own,
// at the sync of the folder, can't be caught: it ends the process, and the restart reads back what was kept.
func caught(err *error) {
	switch p := recover().(type) {
	case nil:
	case runtime.Error:
		panic(p)
	case error:
		*err = p
	default:
		panic(p)
	}
}

var errBroken = errors.New("the store's library gave up on the disk")

// caught is the same for an open store, which is not entered again.
func (s *Store) caught(err *error) {
	if p := recover(); p != nil {
		s.broken.Store(true)
		func() {
			defer caught(err)
			panic(p)
		}()
	}
}

func openDB(dir string, opt Options) (db *pebble.DB, err error) {
	defer caught(&err)
	return pebble.Open(dir, &pebble.Options{FS: opt.FS, Logger: quiet{opt.Log}, MemTableSize: 4 << 20,
		MemTableStopWritesThreshold: 4, FormatMajorVersion: pebble.FormatNewest,
		EventListener: &pebble.EventListener{DataCorruption: func(info pebble.DataCorruptionInfo) { // else it is fatal
			opt.Log.Error("the state is corrupt", "file", info.Path, "error", info.Details)
		}}})
}

var errForm = errors.New("the store has another form")

// read takes everything out of a store. At an error Found holds what was read until then.
func read(db *pebble.DB, opt Options) (*RecoveredState, error) {
	found := &RecoveredState{LastFirings: map[string]time.Time{}, Created: true}
	get := func(key []byte) ([]byte, error) {
		v, closer, err := db.Get(key)
		if errors.Is(err, pebble.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		defer closer.Close()
		return bytes.Clone(v), nil
	}
	v, err := get(formKey)
	if err != nil {
		return found, err
	}
	if found.Created = v == nil; v != nil && string(v) != form {
		return found, fmt.Errorf("%w: %q", errForm, v)
	}
	clean, err := get(cleanKey)
	if err != nil {
		return found, err
	}
	found.CleanShutdown = clean != nil
	if found.Config, err = get(configKey); err != nil {
		return found, err
	}
	now := opt.Clock()
	if run, err := get(runKey); err != nil {
		return found, err
	} else if len(run) == 8 {
		now.Run = math.Float64frombits(binary.BigEndian.Uint64(run))
	}
	if v, err = get(knownKey); err != nil {
		return found, err
	} else if v != nil {
		var k storedReplicas
		if cbor.Unmarshal(v, &k) != nil {
			found.UnreadableRecords++
		} else if age, sure := k.At.since(now); sure { // else nobody knows how old it is
			found.Replicas = convert(k.List, storedReplica.replica)
			for i := range found.Replicas {
				found.Replicas[i].Age += age
			}
		}
	}
	err = each(db, timerPrefix, func(k, v []byte) {
		if len(v) == 8 {
			found.LastFirings[string(k)] = time.Unix(int64(binary.BigEndian.Uint64(v)), 0)
		} else {
			found.UnreadableRecords++
		}
	})
	if err != nil {
		return found, err
	}
	err = each(db, ownPrefix, func(_, v []byte) {
		var o storedOpenRequest
		if cbor.Unmarshal(v, &o) != nil || o.Request.ID == "" {
			found.UnreadableRecords++
			return
		}
		found.ScheduledRequests = append(found.ScheduledRequests, o.open())
	})
	if err != nil {
		return found, err
	}
	err = each(db, trailPrefix, func(_, v []byte) { found.AuditTrail = append(found.AuditTrail, bytes.Clone(v)) })
	if err != nil {
		return found, err
	}
	err = each(db, eventPrefix, func(_, v []byte) {
		k, err := restored(v, now)
		if err != nil {
			found.UnreadableRecords++
		} else if k.Age < opt.Retention {
			found.Records = append(found.Records, k)
		}
	})
	return found, err
}

// each goes through all keys of a kind, in order, and hands them out without the prefix.
func each(db *pebble.DB, prefix []byte, f func(key, value []byte)) error {
	upper := bytes.Clone(prefix)
	upper[len(upper)-1]++
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: upper})
	if err != nil {
		return err
	}
	for ok := it.First(); ok; ok = it.Next() {
		v, err := it.ValueAndErr()
		if err != nil {
			return errors.Join(err, it.Close())
		}
		f(it.Key()[len(prefix):], v)
	}
	return errors.Join(it.Error(), it.Close())
}

func begin(db *pebble.DB, opt Options, found *RecoveredState) (*Store, error) {
	s := &Store{db: db, opt: opt, began: opt.Clock(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	if v, closer, err := db.Get(runKey); err == nil {
		if len(v) == 8 {
			s.base = math.Float64frombits(binary.BigEndian.Uint64(v))
		}
		closer.Close()
	}
	if opt.Synchronous {
		close(s.done)
	} else {
		go s.committer()
	}
	err := s.write([]op{{formKey, []byte(form)}, {cleanKey, nil}})
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("state: first write: %w", err)
	}
	return s, nil
}

// now is the present moment, with the time of service.
func (s *Store) now() Timestamp {
	n := s.opt.Clock()
	n.Run = s.base
	if span, ok := s.began.since(n); ok {
		n.Run += span
	}
	return n
}

func run(v float64) []byte { return binary.BigEndian.AppendUint64(nil, math.Float64bits(v)) }

// Commit implements the loop's keeper: done is called once the notes are on disk, or with the reason why not.
func (s *Store) Commit(notes []dispatch.Record, done func(error)) {
	now := s.now()
	p := pending{done: done, n: len(notes)}
	for _, n := range notes {
		ops, err := noted(n, now)
		if err != nil {
			done(err)
			return
		}
		p.ops = append(p.ops, ops...)
	}
	s.enqueue(p)
}

func (s *Store) enqueue(p pending) {
	s.mu.Lock()
	err := s.failed
	if s.closed {
		err = errors.New("the store is closed")
	}
	if err == nil {
		s.queue = append(s.queue, p)
	}
	s.mu.Unlock()
	if err != nil {
		p.done(err)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write commits and waits.
func (s *Store) write(ops []op) error {
	ended := make(chan error, 1)
	s.enqueue(pending{ops: ops, done: func(err error) { ended <- err }})
	if s.opt.Synchronous {
		s.Step()
	}
	return <-ended
}

// committer writes one batch after the other; all that came while one was being synced goes into the next.
func (s *Store) committer() {
	defer close(s.done)
	for range s.wake {
		for s.Step() {
		}
	}
}

// Step writes what waits, as one batch, and tells whether there was anything. Only the owner of an Inline store calls
// it.
func (s *Store) Step() bool {
	s.mu.Lock()
	list, err := s.queue, s.failed
	s.queue = nil
	s.mu.Unlock()
	if len(list) == 0 {
		return false
	}
	if err == nil {
		err = s.apply(list)
	}
	if err != nil {
		s.mu.Lock()
		if s.failed == nil {
			s.opt.Log.Error("the state can't be written any more", "error", err)
		}
		s.failed = err // what the disk did with a failed sync nobody knows: nothing more is trusted to it
		s.mu.Unlock()
	}
	for _, p := range list {
		p.done(err)
	}
	return true
}

func (s *Store) apply(list []pending) (err error) {
	if s.broken.Load() {
		return errBroken
	}
	defer s.caught(&err)
	b := s.db.NewBatch()
	for _, p := range list {
		s.Records.Add(int64(p.n))
		for _, o := range p.ops {
			if o.value == nil {
				err = b.Delete(o.key, nil)
			} else {
				err = b.Set(o.key, o.value, nil)
			}
			if err != nil {
				return err
			}
		}
	}
	if err := b.Set(runKey, run(s.now().Run), nil); err != nil {
		return err
	}
	s.Syncs.Add(1)
	if s.opt.NoSync {
		return b.Commit(pebble.NoSync)
	}
	return b.Commit(pebble.Sync)
}

// Firing is one minute of a timer entry and the event it makes.
type Firing struct {
	Entry    string
	Due      time.Time
	Deadline time.Time // when its event is given up
	Request  dispatch.Request
}

// RecordFirings notes that timer entries fire and that the events they make are open, with one wait for the disk. Only then
// may the events be begun.
func (s *Store) RecordFirings(list []Firing) error {
	var all []op
	for i := range list {
		ops, err := fired(list[i].Entry, list[i].Due, list[i].Deadline, &list[i].Request)
		if err != nil {
			return err
		}
		all = append(all, ops...)
	}
	return s.write(all)
}

// ScheduledRequestDone notes that an event of the box has its answer. Nothing waits for it: told twice does no harm.
func (s *Store) ScheduledRequestDone(id dispatch.Identity) {
	s.enqueue(pending{ops: []op{{join(ownPrefix, identity(id)), nil}}, done: func(error) {}})
}

// SaveConfig notes the configuration in force.
func (s *Store) SaveConfig(doc []byte) error { return s.write([]op{{configKey, doc}}) }

// Err is why nothing can be written any more, nil where it can.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// SaveReplicas notes the time of service, so that a restart counts from here, and what is known of copies.
func (s *Store) SaveReplicas(known []dispatch.ReplicaSnapshot) error {
	value, err := cbor.Marshal(storedReplicas{s.now(), convert(known, storeReplica)})
	if err != nil {
		return err
	}
	return s.write([]op{{knownKey, value}})
}

// Expire lets go of at most so many records whose remembered time is over and tells how many it looked at; fewer
// than most means that nothing more is due.
func (s *Store) Expire(most int) (looked int, err error) {
	if s.broken.Load() {
		return 0, errBroken
	}
	defer s.caught(&err)
	now := s.now()
	var ops []op
	n := 0
	upper := expiry(max(now.Run-s.opt.Retention, 0), nil)
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: expiryPrefix, UpperBound: upper})
	if err != nil {
		return 0, err
	}
	for ok := it.First(); ok && n < most; ok = it.Next() {
		n++
		key := bytes.Clone(it.Key())
		ops = append(ops, op{key, nil})
		rest := key[len(expiryPrefix):]
		if len(rest) < 9 {
			continue
		}
		at, hash := float64(binary.BigEndian.Uint64(rest[:8])), rest[9:]
		v, closer, err := s.db.Get(join(eventPrefix, hash))
		if err != nil {
			continue
		}
		if lapsed(v, at, s.opt.Retention, now) {
			ops = append(ops, op{join(eventPrefix, hash), nil})
		}
		closer.Close()
	}
	if err := errors.Join(it.Error(), it.Close()); err != nil || len(ops) == 0 {
		return n, err
	}
	return n, s.write(ops)
}

// Size is the bytes on disk.
func (s *Store) Size() uint64 {
	if s.broken.Load() {
		return 0
	}
	return s.db.Metrics().DiskSpaceUsage()
}

// Compact gives back the room of what was let go.
func (s *Store) Compact() (err error) {
	if err := s.Err(); err != nil {
		return err
	}
	defer s.caught(&err)
	return s.db.Compact(context.Background(), expiryPrefix, []byte("y"), false)
}

// Close ends the store; a clean end is noted.
func (s *Store) Close() error {
	err := s.write([]op{{cleanKey, []byte{1}}})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	<-s.done
	return errors.Join(err, s.closeDB())
}

// Drop ends the store as the end of its process does: what waits is not written, and nobody is told.
func (s *Store) Drop() error {
	s.mu.Lock()
	was := s.closed
	s.closed, s.queue = true, nil
	s.mu.Unlock()
	if was {
		return nil
	}
	close(s.wake)
	<-s.done
	return s.closeDB()
}

func (s *Store) closeDB() (err error) {
	if s.broken.Load() {
		return errBroken
	}
	defer s.caught(&err)
	return s.db.Close()
}
