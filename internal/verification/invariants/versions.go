package invariants

// checkVersions checks the rule of function versions: a request is executed by the version that its attempt requested, and
// its response names the version that executed it.
func (c *checker) checkVersions(records []Record) {
	wanted, executed := map[uint64]string{}, map[string]map[string]bool{}
	for _, r := range records {
		switch r.Kind {
		case AttemptStarted:
			wanted[r.CallID] = r.Digest
		case Executed:
			if r.Digest != wanted[r.CallID] {
				c.violation(&c.verdict.VersionMismatches, "version", "%s was sent to %s for version %s and executed by version %s", r.RequestID, r.Worker,
					wanted[r.CallID], r.Digest)
			}
			if executed[r.RequestID] == nil {
				executed[r.RequestID] = map[string]bool{}
			}
			executed[r.RequestID][r.Digest] = true
		case ResponseReceived:
			c.checkNamedVersion(r, executed[r.RequestID])
		default: // not part of this check
		}
	}
}

// checkNamedVersion checks that a response names a version that executed the request. Keyed requests are exempt where front
// ends are independent: a worker drops a duplicate that was already executed for another front end, possibly by another
// version.
func (c *checker) checkNamedVersion(response Record, executed map[string]bool) {
	if c.rules.IndependentFrontEnds && c.rules.Semantics[response.Class] == semanticsIdempotentByKey {
		return
	}
	if response.Outcome == Succeeded && len(executed) > 0 && !executed[response.Digest] {
		c.violation(&c.verdict.VersionMismatches, "version", "response of %s names %q, which did not execute it", response.RequestID,
			response.Digest)
	}
}
