package invariants

// checkVersions checks what responses promise beside the five rules: a request runs only on the version that its
// attempt asked for, and its response names the version that ran it.
func (c *checker) checkVersions(records []Record) {
	wanted, ran := map[uint64]string{}, map[string]map[string]bool{}
	for _, r := range records {
		switch r.Kind {
		case AttemptStarted:
			wanted[r.CallID] = r.Digest
		case Executed:
			if r.Digest != wanted[r.CallID] {
				c.violation(&c.verdict.VersionMismatches, "version", "%s asked %s for %s and ran on %s", r.RequestID, r.Worker, wanted[r.CallID], r.Digest)
			}
			if ran[r.RequestID] == nil {
				ran[r.RequestID] = map[string]bool{}
			}
			ran[r.RequestID][r.Digest] = true
		case ResponseReceived:
			c.checkNamedVersion(r, ran[r.RequestID])
		}
	}
}

// checkNamedVersion checks that a response names a version that ran the request. Workers drop a keyed request that ran
// for another front end, maybe on another version, so those are exempt where front ends are independent.
func (c *checker) checkNamedVersion(response Record, ran map[string]bool) {
	if c.rules.IndependentFrontEnds && c.rules.Semantics[response.Class] == effectIdempotentByKey {
		return
	}
	if response.Outcome == Succeeded && len(ran) > 0 && !ran[response.Digest] {
		c.violation(&c.verdict.VersionMismatches, "version", "%s was answered in the name of %q, which did not run it", response.RequestID,
			response.Digest)
	}
}
