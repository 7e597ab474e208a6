package simadapter

import "streamcleat/control"

// Names of the simulator's messages.
const (
	messageFrame         = "FRAME"       // begins a batch
	messageCommit        = "COMMIT"      // ends a batch
	messageDirectory     = "DIRECTORY"   // begins a list of workers
	messageWorker        = "M"           // one worker of the list
	messageCreate        = "CREATE"      // starts an instance
	messageDetach        = "DETACH"      // ends an instance
	messageUpdate        = "UPDATE"      // hands a list of workers to an instance
	messageRequest       = "DEMAND"      // a request arrives
	messageAttemptResult = "REPORT_BACK" // an attempt ended
	messageLoadResult    = "BROUGHT_UP"  // a load command ended
	messageCancel        = "HANGUP"      // a client left
	messageGossip        = "PEER_DATA"   // a message of another front end
	messageTimer         = "WAKEUP"      // a timer fired
)

// Names of the adapter's messages.
const (
	messageDone      = "OK"        // a batch was carried out
	messagePanic     = "PANIC"     // the router of an instance panicked
	messageRoute     = "ROUTE"     // start an attempt
	messageReject    = "SAY_NO"    // reject a request
	messageFail      = "SURRENDER" // fail a request
	messageLoad      = "PRELOAD"   // send a load command
	messageBroadcast = "POST"      // send gossip to every other front end
	messageSetTimer  = "NOTIFY_ME" // set a timer
	messageSubscribe = "OBSERVE"   // poll the list of workers
)

// Names of fields that stand in several messages.
const (
	fieldInstance  = "EndId"
	fieldRequest   = "Id"
	fieldWorker    = "Worker"
	fieldFunction  = "Function"
	fieldOutcome   = "Rc"
	fieldLatency   = "DelaySeenMs"
	fieldReplicas  = "UnitsHeld"
	fieldSlot      = "Slot"
	fieldGossip    = "Octets"
	fieldTimerMark = "Mark"
)

// restOfLineFields names, by message, the field whose value runs on to the end of the line.
var restOfLineFields = map[string]string{messageCreate: "Conf"}

// Bits of the field Options of a request.
const (
	optionWorkHint = 1 << iota // the field WorkHintMs counts
	optionRetried              // the client marks the request as a retry
)

// startTypeMask covers the bits of the field Info that hold a control.StartType.
const startTypeMask = 7

// outcomes are the words for how an attempt or a load command ended.
var outcomes = map[string]control.Outcome{
	"delivered":   control.Succeeded,
	"app_error":   control.Failed,
	"shed":        control.Rejected,
	"expired":     control.TimedOut,
	"dial_failed": control.Unreachable,
	"dropped":     control.ConnectionLost,
	"revoked":     control.Cancelled,
	"unused":      control.NotSent,
	"empty":       control.ReplicaMissing,
}

// endpointStates are the words for the state of a worker.
var endpointStates = map[string]control.EndpointState{
	"SERVING":  control.Serving,
	"DRAINING": control.Draining,
	"DELETED":  control.Removed,
}

// updateKind tells what an update of the list of workers carries.
type updateKind uint8

const (
	updateFailed    updateKind = iota // nothing: the poll failed
	updatePartial                     // what changed
	updateComplete                    // the whole list
	updatePersisted                   // the whole list as an earlier process stored it
)

// updateKinds are the words for the kinds of updates.
var updateKinds = map[string]updateKind{
	"Error":     updateFailed,
	"Partial":   updatePartial,
	"Complete":  updateComplete,
	"Persisted": updatePersisted,
}

// Names of the figures of a load report that are read.
const (
	reportRunning = "rif"
	reportWaiting = "q"
)
