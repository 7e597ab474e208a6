package proxy

import (
	"errors"
	"fmt"
)

// Check returns an error where the state contradicts itself; it is for tests and the simulation.
func (p *Proxy) Check(full bool) error {
	errs := []error{p.dispatcher.Check(full), p.pool.Check()}
	if n := p.queued(); n > 0 {
		errs = append(errs, fmt.Errorf("%d operations are left over by a flush", n))
	}
	errs = append(errs, p.checkClients()...)
	errs = append(errs, p.checkWaiters()...)
	if n := p.pool.Len(); len(p.upstreamConns) > n {
		errs = append(errs, fmt.Errorf("%d connections to workers, the pool knows %d", len(p.upstreamConns), n))
	}
	errs = append(errs, p.durability.check()...)
	return errors.Join(errs...)
}

// checkClients compares the list of clients and their requests with the table of requests.
func (p *Proxy) checkClients() (errs []error) {
	open := 0
	for i, client := range p.clients {
		if client.index != i || client.closed {
			errs = append(errs, fmt.Errorf("client %d is closed or has index %d", i, client.index))
		}
		for slot, waiter := range client.waiters {
			open++
			if p.clientRequests[waiter] != (clientRequest{client, slot}) {
				errs = append(errs, fmt.Errorf("waiter %d of a client is unknown", waiter))
			}
		}
	}
	if open != len(p.clientRequests) {
		errs = append(errs, fmt.Errorf("%d waiters, %d of them of open connections", len(p.clientRequests), open))
	}
	return errs
}

// checkWaiters compares the dispatcher's waiters with those of clients and of the process itself. The dispatcher may
// know fewer while responses wait for their records.
func (p *Proxy) checkWaiters() []error {
	known, own := p.dispatcher.Waiters(), len(p.clientRequests)+len(p.internalWaiters)
	responsesWait := p.durability.committing || len(p.durability.awaitingNext) > 0
	if known > own || !responsesWait && known != own {
		return []error{fmt.Errorf("the dispatcher knows %d waiters, connections %d and the process %d",
			known, len(p.clientRequests), len(p.internalWaiters))}
	}
	return nil
}

// check tells of effects and records that wait for a commit that nobody will make.
func (b *durabilityBarrier) check() []error {
	if len(b.awaitingNext) > 0 && len(b.pendingRecords) == 0 ||
		!b.committing && len(b.awaitingCurrent)+len(b.pendingRecords) > 0 {
		return []error{errors.New("effects or records wait for a commit that is not under way")}
	}
	return nil
}
