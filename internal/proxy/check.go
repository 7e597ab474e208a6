package proxy

import (
	"errors"
	"fmt"
)

// Check verifies the invariants of the front end's state, for tests and the simulation. If full is set it also checks the
// dispatcher's cache.
func (p *Proxy) Check(full bool) error {
	errs := []error{p.dispatcher.Check(full), p.pool.Check()}
	if n := p.pendingWork(); n > 0 {
		errs = append(errs, fmt.Errorf("%d work items left after a flush", n))
	}
	errs = append(errs, p.checkClients()...)
	errs = append(errs, p.checkWaiters()...)
	if n := p.pool.Len(); len(p.upstreamConns) > n {
		errs = append(errs, fmt.Errorf("%d upstream connections open, %d in the pool", len(p.upstreamConns), n))
	}
	errs = append(errs, p.durability.check()...)
	return errors.Join(errs...)
}

// checkClients compares the clients and their open requests with clientRequests.
func (p *Proxy) checkClients() []error {
	var errs []error
	open := 0
	for i, client := range p.clients {
		if client.index != i || client.closed {
			errs = append(errs, fmt.Errorf("client %d is closed or has index %d", i, client.index))
		}
		for slot, waiter := range client.waiters {
			open++
			if p.clientRequests[waiter] != (clientRequest{client, slot}) {
				errs = append(errs, fmt.Errorf("waiter %d of a client is not in clientRequests or names another request", waiter))
			}
		}
	}
	if open != len(p.clientRequests) {
		errs = append(errs, fmt.Errorf("%d waiters in clientRequests, %d on open connections", len(p.clientRequests), open))
	}
	return errs
}

// checkWaiters compares the number of the dispatcher's waiters with that of client and internal requests. The dispatcher may
// have fewer while responses wait for their records.
func (p *Proxy) checkWaiters() []error {
	dispatched, registered := p.dispatcher.Waiters(), len(p.clientRequests)+len(p.internalWaiters)
	responsesPending := p.durability.committing || len(p.durability.awaitingNextCommit) > 0
	if dispatched > registered || !responsesPending && dispatched != registered {
		return []error{fmt.Errorf("%d waiters in the dispatcher, %d of clients, %d of internal requests",
			dispatched, len(p.clientRequests), len(p.internalWaiters))}
	}
	return nil
}

// check returns an error if effects or records wait for a commit that is neither under way nor going to be started.
func (b *durabilityBarrier) check() []error {
	if len(b.awaitingNextCommit) > 0 && len(b.pendingRecords) == 0 ||
		!b.committing && len(b.awaitingCurrentCommit)+len(b.pendingRecords) > 0 {
		return []error{errors.New("effects or records wait for a commit that was not started")}
	}
	return nil
}
