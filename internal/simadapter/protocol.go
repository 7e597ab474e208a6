package simadapter

import "streamcleat/control"

// Names of messages from the simulator.
const (
	messageFrame         = "FRAME"       // start of a batch
	messageCommit        = "COMMIT"      // end of a batch
	messageDirectory     = "DIRECTORY"   // start of a worker list
	messageWorker        = "M"           // entry of a worker list
	messageCreate        = "CREATE"      // create an instance
	messageDetach        = "DETACH"      // remove an instance
	messageUpdate        = "UPDATE"      // pass a worker list to an instance
	messageRequest       = "DEMAND"      // request arrived
	messageAttemptResult = "REPORT_BACK" // attempt ended
	messageLoadResult    = "BROUGHT_UP"  // load command ended
	messageCancel        = "HANGUP"      // client cancelled its request
	messageGossip        = "PEER_DATA"   // gossip from another front end
	messageTimer         = "WAKEUP"      // timer fired
)

// Names of messages to the simulator.
const (
	messageDone             = "OK"        // batch processed
	messagePanic            = "PANIC"     // router of an instance panicked
	messageRoute            = "ROUTE"     // start an attempt
	messageReject           = "SAY_NO"    // reject a request
	messageFail             = "SURRENDER" // fail a request
	messageLoad             = "PRELOAD"   // send a load command
	messageBroadcast        = "POST"      // send gossip to every other front end
	messageSetTimer         = "NOTIFY_ME" // set a timer
	messageRequestEndpoints = "OBSERVE"   // request the worker list
)

// Names of fields that are used more than once.
const (
	fieldInstance = "EndId"
	fieldRequest  = "Id"
	fieldWorker   = "Worker"
	fieldFunction = "Function"
	fieldOutcome  = "Rc"
	fieldLatency  = "DelaySeenMs"
	fieldReplicas = "UnitsHeld"
	fieldSlot     = "Slot"
	fieldGossip   = "Octets"
	fieldTimerID  = "Mark"
)

// restOfLineFields maps message names to the field whose value may contain spaces and extends to the end of the line.
var restOfLineFields = map[string]string{messageCreate: "Conf"}

// Bits of the Options field of a request.
const (
	optionWorkHint = 1 << iota // WorkHintMs is valid
	optionRetried              // the client states that the request is a retry
)

// startTypeMask selects the bits of the Info field that contain a control.StartType.
const startTypeMask = 7

// outcomes maps the protocol's names for the outcomes of attempts and load commands.
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

// endpointStates maps the protocol's names for the states of a worker.
var endpointStates = map[string]control.EndpointState{
	"SERVING":  control.Serving,
	"DRAINING": control.Draining,
	"DELETED":  control.Removed,
}

// updateKind specifies what an update of the worker list contains.
type updateKind uint8

const (
	updateFailed    updateKind = iota // nothing, because the poll failed
	updatePartial                     // the changed workers only
	updateComplete                    // all workers
	updatePersisted                   // all workers, as stored by an earlier process
)

// updateKinds maps the protocol's names for the kinds of update.
var updateKinds = map[string]updateKind{
	"Error":     updateFailed,
	"Partial":   updatePartial,
	"Complete":  updateComplete,
	"Persisted": updatePersisted,
}

// Names of the metrics in a load report that are used. Others are ignored.
const (
	metricRunning = "rif"
	metricWaiting = "q"
)
