package simulation

// FaultKind is the name of a kind of fault in scripts and reports.
type FaultKind string

// Kinds of fault. Unless its comment says otherwise, a network fault affects the traffic between the appliance and the worker
// or client that the script names. Scripts may also use the older names in deprecatedFaultKinds.
const (
	FaultDelayWorker         FaultKind = "delay-worker"          // higher latency
	FaultDelayClient         FaultKind = "delay-client"          // higher latency
	FaultPartitionWorker     FaultKind = "partition-worker"      // a partition in both directions
	FaultPartitionToWorker   FaultKind = "partition-to-worker"   // data from the appliance to the worker is not delivered
	FaultPartitionFromWorker FaultKind = "partition-from-worker" // data from the worker to the appliance is not delivered
	FaultPartitionClient     FaultKind = "partition-client"      // a partition in both directions
	FaultPartitionPeers      FaultKind = "partition-peers"       // a partition between an appliance and all other appliances
	FaultPartialView         FaultKind = "partial-view"          // each worker is partitioned from one of the appliances
	FaultLossy               FaultKind = "lossy"                 // datagrams are lost, duplicated and reordered
	FaultResetWorker         FaultKind = "reset-worker"          // connections are reset after some bytes
	FaultResetClient         FaultKind = "reset-client"          // connections are reset after some bytes
	FaultHalfOpenWorker      FaultKind = "half-open-worker"      // connections drop all packets without a reset
	FaultHalfOpenClient      FaultKind = "half-open-client"      // connections drop all packets without a reset
	FaultSlowClient          FaultKind = "slow-client"           // a client reads slowly
	FaultSmallBuffer         FaultKind = "small-buffer"          // kernels of all machines have small send buffers
	FaultDiskSlow            FaultKind = "disk-slow"             // syncs of an appliance's disk are slow
	FaultDiskFull            FaultKind = "disk-full"             // writes to an appliance's disk fail for lack of space
	FaultTornWrite           FaultKind = "torn"                  // an appliance's machine stops in the middle of a write
	FaultKill                FaultKind = "kill"                  // an appliance's process is killed
	FaultPowerLoss           FaultKind = "power-loss"            // an appliance's machine loses power
	FaultStop                FaultKind = "stop"                  // an appliance stops gracefully
	FaultSuspend             FaultKind = "suspend"               // an appliance's process is suspended
	FaultClockStep           FaultKind = "clock"                 // an appliance's wall clock steps
	FaultCrashWorker         FaultKind = "crash"                 // a worker's process crashes
	FaultPowerLossWorker     FaultKind = "worker-power-loss"     // a worker's machine loses power
	FaultRestartWorker       FaultKind = "restart"               // a worker restarts at once, at the same address
	FaultSuspendWorker       FaultKind = "suspend-worker"        // a worker's process is suspended
	FaultHang                FaultKind = "hang"                  // a worker does not respond
	FaultLoseResponses       FaultKind = "lose"                  // a worker executes requests without a response, and appears healthy
	FaultErrors              FaultKind = "errors"                // a worker responds with status 500
	FaultReject              FaultKind = "reject"                // a worker responds with status 503
	FaultSlow                FaultKind = "slow"                  // a worker takes a multiple of the usual execution time
	FaultResetResponses      FaultKind = "reset-responses"       // a worker resets connections
	FaultTruncateResponses   FaultKind = "truncate-responses"    // a worker closes connections in the middle of a response
	FaultDrain               FaultKind = "drain"                 // a worker drains
	FaultDrainThenCrash      FaultKind = "drain-then-crash"      // a worker starts to drain, and then crashes
	FaultCrashThenDrain      FaultKind = "crash-then-drain"      // a worker crashes before its drain is announced
	FaultLeave               FaultKind = "leave"                 // a worker is removed from the endpoint list, and then terminates
	FaultJoin                FaultKind = "join"                  // a new worker joins
	FaultEndpointListDelay   FaultKind = "list-late"             // an appliance does not apply changes of the endpoint list until its next resync
	FaultStoreSlow           FaultKind = "store-slow"            // fetches from the function store take a multiple of the usual time
	FaultStoreStop           FaultKind = "store-stop"            // the function store rejects fetches
	FaultEvictAll            FaultKind = "flush"                 // workers evict every image and idle replica
	FaultUpdateAlias         FaultKind = "alias"                 // one function's alias moves to another version
	FaultReleaseAll          FaultKind = "release"               // the aliases of all functions move to another version
	FaultRevertAlias         FaultKind = "back-and-forth"        // one function's alias moves to another version and is reverted
	FaultTrafficSpike        FaultKind = "traffic-spike"         // clients send a multiple of the usual request rate
	FaultCancel              FaultKind = "hang-up"               // clients cancel many requests
	FaultIgnoreRetryAfter    FaultKind = "retry-storm"           // clients retry at once, without regard to Retry-After
	FaultReconnect           FaultKind = "reconnect-storm"       // all clients close their connections and reconnect
	FaultIgnoredSync         FaultKind = "ignored-sync"          // an appliance's disk reports syncs as successful without doing them
	FaultDropIdempotencyKeys FaultKind = "state-loss"            // workers lose their deduplication state of keyed requests
)

// faultGroup is a group of fault kinds. A profile names the groups from which its seeds draw.
type faultGroup string

const (
	groupNetwork faultGroup = "network"
	groupDisk    faultGroup = "disk"
	groupProcess faultGroup = "process"
	groupWorker  faultGroup = "worker"
	groupStore   faultGroup = "store"
	groupRelease faultGroup = "release"
	groupLoad    faultGroup = "load"
	groupBeyond  faultGroup = "beyond" // the rules need not hold under these faults
)

// bounds is the range from which a number is drawn.
type bounds struct{ min, max float64 }

// faultKind is a kind of fault, with the bounds of the parameters that are drawn for it. The program must keep every rule
// within these bounds, except under kinds of groupBeyond, which only the profile "beyond" draws.
type faultKind struct {
	name                FaultKind
	group               faultGroup
	inject              func(*injection)
	affectsOneAppliance bool   // fault coverage counts only the states of that appliance
	duration            bounds // seconds
	size                bounds // in the unit of the kind, see Fault.Size
	minBytes, maxBytes  int    // of Fault.Bytes; maxBytes is 0 for kinds that do not use it
}

// faultKinds contains all kinds of fault. Generate draws from them in this order, so new kinds must be appended: otherwise
// the scripts of existing seeds change.
var faultKinds = []faultKind{
	{name: FaultDelayWorker, group: groupNetwork, inject: (*injection).delayWorker, affectsOneAppliance: true, duration: bounds{0.5, 4}, size: bounds{0.005, 0.05}},
	{name: FaultDelayClient, group: groupNetwork, inject: (*injection).delayClient, affectsOneAppliance: true, duration: bounds{0.5, 4}, size: bounds{0.005, 0.03}},
	{name: FaultPartitionWorker, group: groupNetwork, inject: (*injection).partitionWorker, affectsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionToWorker, group: groupNetwork, inject: (*injection).partitionToWorker, affectsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionFromWorker, group: groupNetwork, inject: (*injection).partitionFromWorker, affectsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionClient, group: groupNetwork, inject: (*injection).partitionClient, affectsOneAppliance: true, duration: bounds{0.2, 4}},
	{name: FaultPartitionPeers, group: groupNetwork, inject: (*injection).partitionPeers, affectsOneAppliance: true, duration: bounds{0.5, 6}},
	{name: FaultPartialView, group: groupNetwork, inject: (*injection).partitionPartialView, affectsOneAppliance: true, duration: bounds{0.5, 5}},
	{name: FaultLossy, group: groupNetwork, inject: (*injection).disturbDatagrams, duration: bounds{1, 8}, size: bounds{0.05, 0.5}},
	{name: FaultResetWorker, group: groupNetwork, inject: (*injection).resetWorker, affectsOneAppliance: true, minBytes: 1, maxBytes: 400},
	{name: FaultResetClient, group: groupNetwork, inject: (*injection).resetClient, affectsOneAppliance: true, minBytes: 1, maxBytes: 400},
	{name: FaultHalfOpenWorker, group: groupNetwork, inject: (*injection).halfOpenWorker, affectsOneAppliance: true},
	{name: FaultHalfOpenClient, group: groupNetwork, inject: (*injection).halfOpenClient, affectsOneAppliance: true},
	{name: FaultSlowClient, group: groupNetwork, inject: (*injection).slowClient, duration: bounds{1, 6}, size: bounds{100, 4000}},
	{name: FaultSmallBuffer, group: groupNetwork, inject: (*injection).shrinkBuffers, duration: bounds{1, 6}, maxBytes: 400},

	{name: FaultDiskSlow, group: groupDisk, inject: (*injection).slowDisk, affectsOneAppliance: true, duration: bounds{0.2, 3}, size: bounds{0.01, 0.6}},
	{name: FaultDiskFull, group: groupDisk, inject: (*injection).fillDisk, affectsOneAppliance: true, duration: bounds{0.5, 4}},
	{name: FaultTornWrite, group: groupDisk, inject: (*injection).tearWrite, affectsOneAppliance: true, maxBytes: 300},

	{name: FaultKill, group: groupProcess, inject: (*injection).killAppliance, affectsOneAppliance: true, size: bounds{0.05, 2}},
	{name: FaultPowerLoss, group: groupProcess, inject: (*injection).powerOffAppliance, affectsOneAppliance: true, size: bounds{0.3, 3}},
	{name: FaultStop, group: groupProcess, inject: (*injection).stopAppliance, affectsOneAppliance: true, size: bounds{0.05, 2}},
	{name: FaultSuspend, group: groupProcess, inject: (*injection).suspendAppliance, affectsOneAppliance: true, duration: bounds{0.01, 0.4}},
	{name: FaultClockStep, group: groupProcess, inject: (*injection).stepClock, affectsOneAppliance: true, size: bounds{-130, 130}},

	{name: FaultCrashWorker, group: groupWorker, inject: (*injection).crashWorker, size: bounds{0.05, 3}},
	{name: FaultPowerLossWorker, group: groupWorker, inject: (*injection).powerOffWorker, size: bounds{0.3, 3}},
	{name: FaultRestartWorker, group: groupWorker, inject: (*injection).restartWorker},
	{name: FaultSuspendWorker, group: groupWorker, inject: (*injection).suspendWorker, duration: bounds{0.1, 3}},
	{name: FaultHang, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.5, 4}},
	{name: FaultLoseResponses, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.5, 4}},
	{name: FaultErrors, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.5, 4}},
	{name: FaultReject, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.5, 4}},
	{name: FaultSlow, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.5, 4}},
	{name: FaultResetResponses, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.2, 2}},
	{name: FaultTruncateResponses, group: groupWorker, inject: (*injection).injectAtWorker, duration: bounds{0.2, 2}},
	{name: FaultDrain, group: groupWorker, inject: (*injection).drain, duration: bounds{1, 5}},
	{name: FaultDrainThenCrash, group: groupWorker, inject: (*injection).drainThenCrash, duration: bounds{1, 5}, size: bounds{0, 0.4}},
	{name: FaultCrashThenDrain, group: groupWorker, inject: (*injection).crashThenDrain, duration: bounds{1, 5}, size: bounds{0, 0.4}},
	{name: FaultLeave, group: groupWorker, inject: (*injection).removeWorker},
	{name: FaultJoin, group: groupWorker, inject: (*injection).addWorker},
	{name: FaultEndpointListDelay, group: groupWorker, inject: (*injection).delayEndpointList, affectsOneAppliance: true, duration: bounds{1, 5}},

	{name: FaultStoreSlow, group: groupStore, inject: (*injection).slowStore, duration: bounds{0.5, 5}, size: bounds{2, 12}},
	{name: FaultStoreStop, group: groupStore, inject: (*injection).stopStore, duration: bounds{0.2, 3}},
	{name: FaultEvictAll, group: groupStore, inject: (*injection).evictAll},

	{name: FaultUpdateAlias, group: groupRelease, inject: (*injection).updateAlias, affectsOneAppliance: true, size: bounds{0, versionsPerFunction}},
	{name: FaultReleaseAll, group: groupRelease, inject: (*injection).releaseAll, affectsOneAppliance: true, size: bounds{0, versionsPerFunction}},
	{name: FaultRevertAlias, group: groupRelease, inject: (*injection).revertAlias, affectsOneAppliance: true, size: bounds{0.01, 0.9}},

	{name: FaultTrafficSpike, group: groupLoad, inject: (*injection).raiseTraffic, duration: bounds{0.5, 3}, size: bounds{2, 6}},
	{name: FaultCancel, group: groupLoad, inject: (*injection).cancelMany, duration: bounds{0.5, 4}, size: bounds{0.2, 0.9}},
	{name: FaultIgnoreRetryAfter, group: groupLoad, inject: (*injection).ignoreRetryAfter, duration: bounds{0.5, 3}},
	{name: FaultReconnect, group: groupLoad, inject: (*injection).reconnectClients},

	{name: FaultIgnoredSync, group: groupBeyond, inject: (*injection).ignoreSyncs, affectsOneAppliance: true, duration: bounds{1, 6}},
	{name: FaultDropIdempotencyKeys, group: groupBeyond, inject: (*injection).dropIdempotencyKeys},
}

// faultKindByName returns the kind of fault with a name, or nil if there is none.
func faultKindByName(name FaultKind) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}
