package nodetest

import "fmt"

// DocumentText returns the configuration document of a front end with one worker and a limit on open descriptors.
func DocumentText(listen, discovery, worker string, descriptors int) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":%d},"journal":%q,
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"z","class":"k",
		"health":"active","share":1,"born_ms":0}]}}]},
		"settings":{"Balancers":1,"RoundMs":4,"Caps":{"RetryAfter":true,"MaxRetryAfterMs":500,"MostTries":4,"MaxStreams":32,"MaxOpen":2000,
		"DialTimeoutMs":250,"IdleCloseMs":30000},"Classes":[{"Name":"call","AimMs":500,"GiveUpMs":1500,"Idempotency":"free"},
		{"Name":"once","AimMs":500,"GiveUpMs":1500,"Idempotency":"single_shot"}],
		"Accounts":[{"Name":"acme","QuotaPerS":1000}],"Discovery":"automatic","Domain":{"MayOrder":true,"OrderTimeoutMs":1000,
		"StaysLoadedMs":8000,"WhenAbsent":"miss"},"Rules":{"ColdFrom":0.3,"FallMs":1500,"FallMultiple":2.5,"WarmWithinMs":16000,"DrainGraceMs":500}}}`,
		listen, descriptors, discovery, worker)
}

// DrainLine returns the line of the discovery service that sets the document's worker to draining.
func DrainLine(worker string) string {
	return `{"pos":2,"hosts":{"seq":2,"whole":false,"hosts":[{"host":"a","dial":"` + worker + `","health":"leaving"}]}}`
}
