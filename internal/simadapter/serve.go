package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// server holds the instances of a process and the worker lists that they share.
type server struct {
	out              *bufio.Writer
	now              units.Seconds // simulated time of the current batch
	inBatch          bool
	instances        map[string]*instance
	workerLists      map[int][]control.Worker // by slot
	slot             int                      // slot of the worker list being read
	remainingWorkers int                      // entries of that list that are still to be read
}

// Serve processes batches of messages from in and writes the routers' decisions to out, until the input ends. It stops at
// the first invalid line with a [*LineError].
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		out:         bufio.NewWriterSize(out, bufferSize),
		instances:   map[string]*instance{},
		workerLists: map[int][]control.Worker{},
	}
	lines := newLineReader(in)
	for {
		l, err := lines.next(s.inBatch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.handle(l); err != nil {
			return err
		}
	}
}

// handle processes one line of input.
func (s *server) handle(l *line) error {
	switch {
	case s.remainingWorkers > 0 && l.name != messageWorker:
		l.fail("", errors.New("worker list truncated"))
	case !s.inBatch && l.name != messageFrame:
		l.fail("", fmt.Errorf("expected %s, got %s", messageFrame, l.name))
	case s.inBatch && l.name == messageFrame:
		l.fail("", errors.New(messageFrame+" inside a batch"))
	case l.name == messageFrame:
		l.required("TsMs")
		s.now = l.seconds("TsMs")
		s.inBatch = true
	case l.name == messageCommit:
		return s.commit()
	default:
		s.handleInBatch(l)
	}
	return l.err
}

// commit ends a batch and flushes its output.
func (s *server) commit() error {
	s.inBatch = false
	_, _ = s.out.WriteString(messageDone + "\n") // Flush returns the writer's first error
	return s.out.Flush()
}

// handleInBatch processes a line within a batch. It ignores unknown messages.
func (s *server) handleInBatch(l *line) {
	switch l.name {
	case messageDirectory:
		l.required(fieldSlot)
		s.slot = l.integer(fieldSlot)
		s.remainingWorkers = l.integer("NodesList")
		s.workerLists[s.slot] = nil
	case messageWorker:
		s.addWorker(l)
	case messageCreate:
		s.create(l)
	case messageDetach:
		delete(s.instances, l.required(fieldInstance))
	default:
		if deliver := deliverFuncs[l.name]; deliver != nil {
			s.deliver(l, deliver)
		}
	}
}

// addWorker adds an entry to the worker list being read.
func (s *server) addWorker(l *line) {
	if s.remainingWorkers == 0 {
		l.fail("", errors.New("worker line outside a list"))
		return
	}
	s.remainingWorkers--
	s.workerLists[s.slot] = append(s.workerLists[s.slot], decodeWorker(l))
}

// create creates an instance, which replaces any existing one of the same name.
func (s *server) create(l *line) {
	i := &instance{name: l.required(fieldInstance), out: s.out, queries: map[query][]int{}}
	settings := l.deployment("Conf")
	seed := l.requiredUint64("Nonce64")
	if l.err != nil {
		return
	}
	i.router = control.New(settings, seed, i, s.now)
	s.instances[i.name] = i
}

// deliver delivers a message to the instance that it names.
func (s *server) deliver(l *line, deliver deliverFunc) {
	name := l.required(fieldInstance)
	if l.err != nil {
		return
	}
	i := s.instances[name]
	if i == nil {
		l.fail(fieldInstance, fmt.Errorf("unknown instance: %s", name))
		return
	}
	defer i.recoverPanic()
	deliver(s, i, l)
}
