package simulation

// FaultKind is a kind of fault, as written in scripts and reports.
type FaultKind string

// Kinds of fault. Unless its comment says otherwise, a fault of the network affects one appliance, and the worker or
// client that the script names. Older names of kinds are read as well, see deprecatedFaultKinds.
const (
	FaultDelayWorker         FaultKind = "delay-worker"          // additional latency
	FaultDelayClient         FaultKind = "delay-client"          // additional latency
	FaultPartitionWorker     FaultKind = "partition-worker"      // a partition in both directions
	FaultPartitionToWorker   FaultKind = "partition-to-worker"   // a partition towards the worker
	FaultPartitionFromWorker FaultKind = "partition-from-worker" // a partition towards the appliance
	FaultPartitionClient     FaultKind = "partition-client"      // a partition in both directions
	FaultPartitionPeers      FaultKind = "partition-peers"       // a partition between an appliance and all others
	FaultPartialView         FaultKind = "partial-view"          // a partition between each appliance and some of the workers
	FaultLossy               FaultKind = "lossy"                 // datagrams are lost, duplicated and reordered
	FaultResetWorker         FaultKind = "reset-worker"          // connections are reset after some bytes
	FaultResetClient         FaultKind = "reset-client"          // connections are reset after some bytes
	FaultHalfOpenWorker      FaultKind = "half-open-worker"      // connections lose all packets silently
	FaultHalfOpenClient      FaultKind = "half-open-client"      // connections lose all packets silently
	FaultSlowClient          FaultKind = "slow-client"           // a client reads slowly
	FaultSmallBuffer         FaultKind = "small-buffer"          // all kernels have small send buffers
	FaultDiskSlow            FaultKind = "disk-slow"             // syncs take long
	FaultDiskFull            FaultKind = "disk-full"             // writes fail
	FaultTornWrite           FaultKind = "torn"                  // the machine stops during a write
	FaultKill                FaultKind = "kill"                  // an appliance's process ends
	FaultPowerLoss           FaultKind = "power-loss"            // an appliance's machine loses its power
	FaultStop                FaultKind = "stop"                  // an appliance stops gracefully
	FaultSuspend             FaultKind = "suspend"               // an appliance's process is suspended
	FaultClockStep           FaultKind = "clock"                 // an appliance's time of day steps
	FaultCrashWorker         FaultKind = "crash"                 // a worker's process ends
	FaultPowerLossWorker     FaultKind = "worker-power-loss"     // a worker's machine loses its power
	FaultRestartWorker       FaultKind = "restart"               // a worker restarts at once, at the same address
	FaultSuspendWorker       FaultKind = "suspend-worker"        // a worker's process is suspended
	FaultHang                FaultKind = "hang"                  // a worker does not respond
	FaultLoseResponses       FaultKind = "lose"                  // a worker executes requests and loses the responses, while it looks alive
	FaultErrors              FaultKind = "errors"                // a worker responds 500
	FaultReject              FaultKind = "reject"                // a worker responds 503
	FaultSlow                FaultKind = "slow"                  // a worker takes a multiple of the time
	FaultResetResponses      FaultKind = "reset-responses"       // a worker resets connections
	FaultTruncateResponses   FaultKind = "truncate-responses"    // a worker closes connections within a response
	FaultDrain               FaultKind = "drain"                 // a worker drains
	FaultDrainThenCrash      FaultKind = "drain-then-crash"      // a worker drains, and its process ends
	FaultCrashThenDrain      FaultKind = "crash-then-drain"      // a worker's process ends before its drain notice
	FaultLeave               FaultKind = "leave"                 // a worker is removed from the endpoint list and ends
	FaultJoin                FaultKind = "join"                  // a new worker joins
	FaultEndpointListDelay   FaultKind = "list-late"             // an appliance misses changes of the endpoint list until its next resync
	FaultStoreSlow           FaultKind = "store-slow"            // fetches of functions take a multiple of the time
	FaultStoreStop           FaultKind = "store-stop"            // the function store rejects fetches
	FaultEvictAll            FaultKind = "flush"                 // workers evict every image and idle replica
	FaultUpdateAlias         FaultKind = "alias"                 // one function's alias moves to another version
	FaultReleaseAll          FaultKind = "release"               // the aliases of all functions move
	FaultRevertAlias         FaultKind = "back-and-forth"        // one function's alias moves and is reverted
	FaultTrafficSpike        FaultKind = "traffic-spike"         // clients send a multiple of the requests
	FaultCancel              FaultKind = "hang-up"               // clients cancel many requests
	FaultIgnoreRetryAfter    FaultKind = "retry-storm"           // clients retry at once
	FaultReconnect           FaultKind = "reconnect-storm"       // all clients close their connections and reconnect
	FaultIgnoredSync         FaultKind = "ignored-sync"          // a disk reports success of syncs that it ignored
	FaultDropIdempotencyKeys FaultKind = "state-loss"            // workers lose the record of the keyed requests that they executed
)

// faultGroup is a group of kinds of fault. Profiles draw from some of the groups.
type faultGroup string

const (
	groupNetwork faultGroup = "network"
	groupDisk    faultGroup = "disk"
	groupProcess faultGroup = "process"
	groupWorker  faultGroup = "worker"
	groupStore   faultGroup = "store"
	groupRelease faultGroup = "release"
	groupLoad    faultGroup = "load"
	groupBeyond  faultGroup = "beyond" // not covered by the rules
)

// bounds is the range from which a seed draws a number.
type bounds struct{ min, max float64 }

// faultKind is a kind of fault with the bounds within which a seed draws it. Within them the program must keep every rule,
// except for kinds of groupBeyond, which only the profile "beyond" draws.
type faultKind struct {
	name               FaultKind
	group              faultGroup
	inject             func(*injection)
	hitsOneAppliance   bool   // coverage counts only the states of that appliance
	duration           bounds // seconds
	size               bounds
	minBytes, maxBytes int
}

// faultKinds has all kinds of fault. Scripts are drawn from them in this order, so new kinds must be appended to keep the
// scripts of existing seeds.
var faultKinds = []faultKind{
	{name: FaultDelayWorker, group: groupNetwork, inject: (*injection).delayWorker, hitsOneAppliance: true, duration: bounds{0.5, 4}, size: bounds{0.005, 0.05}},
	{name: FaultDelayClient, group: groupNetwork, inject: (*injection).delayClient, hitsOneAppliance: true, duration: bounds{0.5, 4}, size: bounds{0.005, 0.03}},
	{name: FaultPartitionWorker, group: groupNetwork, inject: (*injection).partitionWorker, hitsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionToWorker, group: groupNetwork, inject: (*injection).partitionToWorker, hitsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionFromWorker, group: groupNetwork, inject: (*injection).partitionFromWorker, hitsOneAppliance: true, duration: bounds{0.2, 5}},
	{name: FaultPartitionClient, group: groupNetwork, inject: (*injection).partitionClient, hitsOneAppliance: true, duration: bounds{0.2, 4}},
	{name: FaultPartitionPeers, group: groupNetwork, inject: (*injection).partitionPeers, hitsOneAppliance: true, duration: bounds{0.5, 6}},
	{name: FaultPartialView, group: groupNetwork, inject: (*injection).partitionPartialView, hitsOneAppliance: true, duration: bounds{0.5, 5}},
	{name: FaultLossy, group: groupNetwork, inject: (*injection).disturbDatagrams, duration: bounds{1, 8}, size: bounds{0.05, 0.5}},
	{name: FaultResetWorker, group: groupNetwork, inject: (*injection).resetWorker, hitsOneAppliance: true, minBytes: 1, maxBytes: 400},
	{name: FaultResetClient, group: groupNetwork, inject: (*injection).resetClient, hitsOneAppliance: true, minBytes: 1, maxBytes: 400},
	{name: FaultHalfOpenWorker, group: groupNetwork, inject: (*injection).halfOpenWorker, hitsOneAppliance: true},
	{name: FaultHalfOpenClient, group: groupNetwork, inject: (*injection).halfOpenClient, hitsOneAppliance: true},
	{name: FaultSlowClient, group: groupNetwork, inject: (*injection).slowClient, duration: bounds{1, 6}, size: bounds{100, 4000}},
	{name: FaultSmallBuffer, group: groupNetwork, inject: (*injection).shrinkBuffers, duration: bounds{1, 6}, maxBytes: 400},

	{name: FaultDiskSlow, group: groupDisk, inject: (*injection).slowDisk, hitsOneAppliance: true, duration: bounds{0.2, 3}, size: bounds{0.01, 0.6}},
	{name: FaultDiskFull, group: groupDisk, inject: (*injection).fillDisk, hitsOneAppliance: true, duration: bounds{0.5, 4}},
	{name: FaultTornWrite, group: groupDisk, inject: (*injection).tearWrite, hitsOneAppliance: true, maxBytes: 300},

	{name: FaultKill, group: groupProcess, inject: (*injection).killAppliance, hitsOneAppliance: true, size: bounds{0.05, 2}},
	{name: FaultPowerLoss, group: groupProcess, inject: (*injection).powerOffAppliance, hitsOneAppliance: true, size: bounds{0.3, 3}},
	{name: FaultStop, group: groupProcess, inject: (*injection).stopAppliance, hitsOneAppliance: true, size: bounds{0.05, 2}},
	{name: FaultSuspend, group: groupProcess, inject: (*injection).suspendAppliance, hitsOneAppliance: true, duration: bounds{0.01, 0.4}},
	{name: FaultClockStep, group: groupProcess, inject: (*injection).stepClock, hitsOneAppliance: true, size: bounds{-130, 130}},

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
	{name: FaultEndpointListDelay, group: groupWorker, inject: (*injection).delayEndpointList, hitsOneAppliance: true, duration: bounds{1, 5}},

	{name: FaultStoreSlow, group: groupStore, inject: (*injection).slowStore, duration: bounds{0.5, 5}, size: bounds{2, 12}},
	{name: FaultStoreStop, group: groupStore, inject: (*injection).stopStore, duration: bounds{0.2, 3}},
	{name: FaultEvictAll, group: groupStore, inject: (*injection).evictAll},

	{name: FaultUpdateAlias, group: groupRelease, inject: (*injection).updateAlias, hitsOneAppliance: true, size: bounds{0, versionsPerFunction}},
	{name: FaultReleaseAll, group: groupRelease, inject: (*injection).releaseAll, hitsOneAppliance: true, size: bounds{0, versionsPerFunction}},
	{name: FaultRevertAlias, group: groupRelease, inject: (*injection).revertAlias, hitsOneAppliance: true, size: bounds{0.01, 0.9}},

	{name: FaultTrafficSpike, group: groupLoad, inject: (*injection).raiseTraffic, duration: bounds{0.5, 3}, size: bounds{2, 6}},
	{name: FaultCancel, group: groupLoad, inject: (*injection).cancelMany, duration: bounds{0.5, 4}, size: bounds{0.2, 0.9}},
	{name: FaultIgnoreRetryAfter, group: groupLoad, inject: (*injection).ignoreRetryAfter, duration: bounds{0.5, 3}},
	{name: FaultReconnect, group: groupLoad, inject: (*injection).reconnectClients},

	{name: FaultIgnoredSync, group: groupBeyond, inject: (*injection).ignoreSyncs, hitsOneAppliance: true, duration: bounds{1, 6}},
	{name: FaultDropIdempotencyKeys, group: groupBeyond, inject: (*injection).dropIdempotencyKeys},
}

// faultKindByName returns a kind of fault, or nil if there is none of that name.
func faultKindByName(name FaultKind) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}
