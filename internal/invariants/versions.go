package invariants

// checkVersions checks what responses promise beside the five rules: a request runs only on the version that its
// attempt asked for, and its response names the version that ran it.
func (c *checker) checkVersions(records []Record) {
	wanted, ran := map[uint64]string{}, map[string]map[string]bool{}
	for _, r := range records {
		switch r.Kind {
		case Launched:
			wanted[r.Call] = r.Digest
		case Ran:
			if r.Digest != wanted[r.Call] {
				c.violation(&c.verdict.Versions, "version", "%s asked %s for %s and ran on %s", r.Event, r.Worker, wanted[r.Call], r.Digest)
			}
			if ran[r.Event] == nil {
				ran[r.Event] = map[string]bool{}
			}
			ran[r.Event][r.Digest] = true
		case Answered:
			c.checkNamedVersion(r, ran[r.Event])
		}
	}
}

// checkNamedVersion checks that a response names a version that ran the request. Workers drop a keyed request that ran
// for another front end, maybe on another version, so those are exempt where front ends are independent.
func (c *checker) checkNamedVersion(response Record, ran map[string]bool) {
	if c.rules.IndependentFrontEnds && c.rules.Effect[response.Type] == effectIdempotentByKey {
		return
	}
	if response.Outcome == Handled && len(ran) > 0 && !ran[response.Digest] {
		c.violation(&c.verdict.Versions, "version", "%s was answered in the name of %q, which did not run it", response.Event,
			response.Digest)
	}
}
