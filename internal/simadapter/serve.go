// Package simadapter is the adapter between the simulator's text protocol and the decisions: it turns
// lines into calls on the module and the module's answers into lines, and decides nothing.
package simadapter

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"streamcleat/control"
)

// instance hosts one front end's module and writes its answers as they are given.
type instance struct {
	name string
	out  *bufio.Writer
	mod  *control.Router
}

// server is the whole of one process: its instances and the lists they share.
type server struct {
	out   *bufio.Writer
	now   float64
	ends  map[string]*instance
	lists map[int][]control.Worker
	open  int // worker lines that the current directory still lacks
	slot  int
}

// Serve plays batches from in to out until the input ends.
func Serve(in io.Reader, out io.Writer) (err error) {
	s := &server{out: bufio.NewWriterSize(out, 1<<16), ends: map[string]*instance{},
		lists: map[int][]control.Worker{}}
	r := bufio.NewReaderSize(in, 1<<16)
	defer func() {
		switch p := recover().(type) {
		case nil:
		case fault:
			err = p
		default:
			panic(p)
		}
	}()
	inBatch := false
	var l line
	for no := 1; ; no++ {
		text, rerr := r.ReadString('\n')
		if rerr != nil && !errors.Is(rerr, io.EOF) {
			return rerr
		}
		if rerr != nil && (inBatch || text != "") {
			return fault{no, "", "input cut off in mid-batch"}
		}
		if rerr != nil {
			return nil
		}
		text = strings.TrimRight(text, "\r\n")
		if text == "" && !inBatch {
			continue
		}
		l.parse(no, text)
		switch {
		case s.open > 0 && l.name != "M":
			return fault{no, "", "worker list cut short"}
		case !inBatch && l.name != "FRAME":
			return fault{no, "", "expected FRAME, got " + l.name}
		case inBatch && l.name == "FRAME":
			return fault{no, "", "FRAME inside a batch"}
		case l.name == "FRAME":
			l.need("TsMs")
			s.now, inBatch = l.seconds("TsMs"), true
		case l.name == "COMMIT":
			inBatch = false
			s.out.WriteString("OK\n")
			if err := s.out.Flush(); err != nil {
				return err
			}
		default:
			s.take(&l)
		}
	}
}

func (s *server) take(l *line) {
	switch l.name {
	case "DIRECTORY":
		l.need("Slot")
		s.slot, s.open = l.whole("Slot"), l.whole("NodesList")
		s.lists[s.slot] = nil
	case "M":
		if s.open == 0 {
			panic(fault{l.no, "", "worker line outside a list"})
		}
		s.open--
		s.lists[s.slot] = append(s.lists[s.slot], control.Worker{
			ID: control.WorkerID(l.need("Worker")), Zone: control.ZoneID(l.text("Az")),
			MachineType: control.MachineType(l.text("Hw")), FailureDomain: l.whole("Stripe"), State: pick(l, "Phase", phases),
			Weight: l.number("Share"), StartedAt: l.seconds("BornMs"),
		})
	case "CREATE":
		i := &instance{name: l.need("EndId"), out: s.out}
		i.mod = control.New(l.deployment("Conf"), l.mark("Nonce64"), i, s.now)
		s.ends[i.name] = i
	case "DETACH":
		delete(s.ends, l.need("EndId"))
	default:
		if deliver := deliveries[l.name]; deliver != nil {
			i := s.ends[l.need("EndId")]
			if i == nil {
				panic(fault{l.no, "EndId", "no such instance: " + l.text("EndId")})
			}
			s.guard(i, func() { deliver(s, i, l) })
		}
	}
}

// guard reports a panic of the decisions; a fault of the line goes up to end the program.
func (s *server) guard(i *instance, f func()) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case fault:
			panic(p)
		default:
			reason := strings.Join(strings.Fields(fmt.Sprint(p)), " ")
			i.say("PANIC", "ReasonText", reason)
		}
	}()
	f()
}

var deliveries = map[string]func(*server, *instance, *line){
	"UPDATE": func(s *server, i *instance, l *line) {
		how := l.need("How")
		if how == "Error" {
			i.mod.OnEndpointPollFailed(s.now)
			return
		}
		if how != "Partial" && how != "Complete" && how != "Persisted" {
			panic(fault{l.no, "How", "unknown word: " + how})
		}
		list, ok := s.lists[l.whole("Slot")]
		if !ok {
			panic(fault{l.no, "Slot", "no such list"})
		}
		i.mod.OnEndpointUpdate(s.now, how != "Partial", how == "Persisted", list)
	},
	"DEMAND": func(s *server, i *instance, l *line) {
		options := l.whole("Options")
		evt := control.Request{
			ID: control.RequestID(l.need("Id")), Class: l.need("Class"), Tenant: control.TenantID(l.text("Team")),
			Function: control.FunctionID(l.text("Function")), TimeLeft: l.seconds("RemainingMs"),
			Concurrency: l.whole("PerCopy"), Memory: l.number("MemoryMb"), LoadTime: l.seconds("LoadMs"),
			Retried: options&2 != 0,
		}
		if options&1 != 0 {
			evt.ExpectedWork = l.seconds("WorkHintMs")
		}
		i.mod.OnRequest(s.now, evt)
	},
	"REPORT_BACK": func(s *server, i *instance, l *line) {
		info := l.whole("Info")
		end := control.AttemptResult{
			Request: control.RequestID(l.need("Id")), Worker: control.WorkerID(l.need("Worker")),
			Attempt: l.whole("Leg"), Outcome: pick(l, "Rc", results), Answered: l.flag("Settled"),
			Latency: l.seconds("DelaySeenMs"), Start: control.StartType(info & 7),
			Report: l.report("Pressure"),
		}
		i.mod.OnAttemptResult(s.now, end)
	},
	"BROUGHT_UP": func(s *server, i *instance, l *line) {
		i.mod.OnLoadResult(s.now, control.WorkerID(l.need("Worker")), control.FunctionID(l.need("Function")),
			pick(l, "Rc", results), l.whole("UnitsHeld"), l.seconds("DelaySeenMs"))
	},
	"HANGUP": func(s *server, i *instance, l *line) {
		i.mod.OnCancel(s.now, control.RequestID(l.need("Id")))
	},
	"PEER_DATA": func(s *server, i *instance, l *line) {
		octets, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(l.need("Octets"), "-"))
		if err != nil {
			panic(fault{l.no, "Octets", err.Error()})
		}
		i.mod.OnGossip(s.now, octets)
	},
	"WAKEUP": func(s *server, i *instance, l *line) {
		i.mod.OnTimer(s.now, l.mark("Mark"))
	},
}

// say writes one message of the instance; pairs are names and values in turn.
func (i *instance) say(name string, pairs ...string) {
	i.out.WriteString(name)
	i.out.WriteString(" EndId=")
	i.out.WriteString(i.name)
	for k := 0; k < len(pairs); k += 2 {
		i.out.WriteByte(' ')
		i.out.WriteString(pairs[k])
		i.out.WriteByte('=')
		i.out.WriteString(pairs[k+1])
	}
	i.out.WriteByte('\n')
}

func millis(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }

func (i *instance) StartAttempt(evt control.RequestID, wk control.WorkerID, limit float64) {
	i.say("ROUTE", "Id", string(evt), "Worker", string(wk), "LimitMs", millis(limit))
}

func (i *instance) Reject(evt control.RequestID, pause float64) {
	i.say("SAY_NO", "Id", string(evt), "PauseMs", millis(pause))
}

func (i *instance) Fail(evt control.RequestID) { i.say("SURRENDER", "Id", string(evt)) }

func (i *instance) LoadReplicas(wk control.WorkerID, fn control.FunctionID, copies int) {
	i.say("PRELOAD", "Worker", string(wk), "Function", string(fn), "UnitsHeld", strconv.Itoa(copies))
}

func (i *instance) Broadcast(message []byte) {
	i.say("POST", "Whom", "*", "Octets", base64.StdEncoding.EncodeToString(message))
}

func (i *instance) SetTimer(after float64, mark uint64) {
	i.say("NOTIFY_ME", "SleepForMs", millis(after), "Mark", strconv.FormatUint(mark, 10))
}

func (i *instance) Subscribe() { i.say("OBSERVE", "Want", "1") }
