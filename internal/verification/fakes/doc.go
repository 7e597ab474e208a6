// Package fakes provides test doubles of what surrounds the program: workers that speak the Open Inference Protocol, the
// function store that they share, the endpoint list that names them, and an OCI registry. They listen on loopback and
// fail on command.
//
// Its one job is to behave as those systems do and to record, for the checker of invariants, what passed on the workers'
// sockets. Each Worker owns its replicas, queue and faults under one lock; a Store, a Memory and an EndpointList are
// shared by the workers that are given them. Callers are the scenarios, the command that runs fake workers, and tests.
package fakes
