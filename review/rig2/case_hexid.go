//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["open-id"] = openID }

// openID: a bad client sends the id of an open request with a different body, its hex digits in capitals. It must not be
// answered "served", and no second attempt under that id may be out.
func openID(r *rig) error {
	if err := r.addFrontEnds(1); err != nil {
		return err
	}
	j, err := newJournal(r, 1)
	if err != nil {
		return err
	}
	all, err := r.outletWorkers(j)
	if err != nil {
		return err
	}
	if err := r.startFrontEnds(j, func(number int) terms { return outlet(number, 1) }); err != nil {
		return err
	}
	function := functionFor(0, all, all[0])
	usual, bad := r.outletClient(r.frontEnd[0]), r.outletClient(r.frontEnd[0])
	t0 := r.now()
	for n := range 20 {
		r.sleepUntil(t0 + time.Duration(n)*300*time.Millisecond)
		id := fmt.Sprintf("9b1f03aa5c7e%04x", 0xd000+n)
		var ended atomic.Bool
		usual.send(id, function, "body-"+id, func(end answer) {
			ended.Store(true)
			if end.code != 0 || end.body != "ran:body-"+id {
				r.log("case", "the usual client of %s got code %d %q", id, end.code, end.body)
			}
		})
		if r.trouble {
			time.Sleep(30 * time.Millisecond) // the usual request is open, and out at a worker or waiting for a load
			other := strings.ToUpper(id)
			if os.Getenv("SAME") != "" { // SAME=1: the id as the usual client wrote it
				other = id
			}
			if ended.Load() {
				continue // the id is not that of an open request
			}
			bad.send(other, function, "other-"+id, func(end answer) {
				if end.code == 0 {
					r.violate("lost: a bad client that sent the id of the open request %s with a different body was answered 'served' with %q", id, end.body)
				}
			})
		}
	}
	usual.wait.Wait()
	bad.wait.Wait()
	return nil
}
