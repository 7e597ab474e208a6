package simadapter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settings = `{"Balancers":1,"RoundMs":4,"Caps":{"MostTries":4,"RetryAfter":true,"MaxRetryAfterMs":500,"Later":1},` +
	`"Classes":[{"Name":"quote","AimMs":800,"GiveUpMs":2500,"Idempotency":"free"},` +
	`{"Name":"once","AimMs":800,"GiveUpMs":2500,"Idempotency":"single_shot"}],"Discovery":"subscribe",` +
	`"Domain":{"MayOrder":true,"StaysLoadedMs":8000,"WhenAbsent":"miss"},"NewTable":{"A":[1]}}`

const start = "FRAME TsMs=1000\nCREATE EndId=end-0 Nonce64=7 Conf=" + settings + "\n" +
	"DIRECTORY Slot=3 NodesList=1\nM Worker=worker.a Phase=SERVING Share=1 Colour=red\n" +
	"UPDATE EndId=end-0 How=Persisted Version=1 Slot=3\nCOMMIT\n"

const event = "DEMAND EndId=end-0 Id=00000000000000aa Class=quote RemainingMs=2500 Function=00000000000000f1 PerCopy=2\n"

func play(input string) (string, error) {
	var out bytes.Buffer
	err := Serve(strings.NewReader(input), &out)
	return out.String(), err
}

func TestTranscript(t *testing.T) {
	got, err := play(start +
		"FRAME TsMs=1004\n" + event + "NEWS EndId=end-0 What=ever\nCOMMIT\n" +
		"FRAME TsMs=1600\nBROUGHT_UP EndId=end-0 Rc=delivered UnitsHeld=1 Function=00000000000000f1 " +
		"Worker=worker.a DelaySeenMs=596\nCOMMIT\n" +
		"FRAME TsMs=1700\nREPORT_BACK EndId=end-0 Id=00000000000000aa Leg=0 Worker=worker.a Rc=delivered Settled=1 " +
		"DelaySeenMs=100 Info=9 Pressure=x9:4,q:1\nCOMMIT\n" +
		"FRAME TsMs=1704\nREPORT_BACK EndId=end-0 Id=00000000000000bb Leg=0 Worker=worker.a Rc=empty Settled=1\n" +
		"HANGUP EndId=end-0 Id=00000000000000aa\nWAKEUP EndId=end-0 Mark=99\n" +
		"DETACH EndId=end-0\nCREATE EndId=end-0 Nonce64=8 Conf=" + settings + "\nCOMMIT\n")
	want := "NOTIFY_ME EndId=end-0 SleepForMs=250.000 Mark=0\nOBSERVE EndId=end-0 Want=1\nOK\n" +
		"NOTIFY_ME EndId=end-0 SleepForMs=2496.000 Mark=2\n" +
		"PRELOAD EndId=end-0 Worker=worker.a Function=00000000000000f1 UnitsHeld=1\nOK\n" +
		"ROUTE EndId=end-0 Id=00000000000000aa Worker=worker.a LimitMs=1904.000\nOK\nOK\nOK\n"
	if err != nil || got != want {
		t.Errorf("%v\n%s\nwanted\n%s", err, got, want)
	}
}

// A list's number is given anew within a batch; each UPDATE means the list that stands at that point.
func TestSlotsResolveInOrder(t *testing.T) {
	got, err := play(strings.TrimSuffix(start, "COMMIT\n") +
		"DIRECTORY Slot=3 NodesList=1\nM Worker=worker.b Phase=SERVING\nUPDATE EndId=end-0 How=Complete Version=2 Slot=3\n" +
		"DIRECTORY Slot=3 NodesList=1\nM Worker=worker.c Phase=SERVING\nCOMMIT\n" +
		"FRAME TsMs=1004\n" + event + "COMMIT\n")
	if err != nil || !strings.Contains(got, "PRELOAD EndId=end-0 Worker=worker.b ") {
		t.Errorf("%v\n%s", err, got)
	}
}

func TestMalformed(t *testing.T) {
	for bad, want := range map[string]string{
		"FRAME TsMs=x\n":                                                       "line 1: field TsMs",
		"DEMAND EndId=end-0\n":                                                 "line 1: expected FRAME",
		start + "FRAME TsMs=1\nFRAME TsMs=2\n":                                 "line 8: FRAME inside",
		start + "FRAME TsMs=1\nWAKEUP EndId=end-0\n":                           "line 8: field Mark: missing",
		start + "FRAME TsMs=1\nWAKEUP EndId=e Mark=1\n":                        "line 8: field EndId",
		start + "FRAME TsMs=1\nREPORT_BACK EndId=end-0 Id=a Worker=w Rc=odd\n": "line 8: field Rc",
		start + "FRAME TsMs=1\nHANGUP EndId\n":                                 "line 8: field EndId",
		start + "FRAME TsMs=1\nDIRECTORY Slot=1 NodesList=2\nCOMMIT\n":         "line 9: worker list cut",
		start + "FRAME TsMs=1\n":                                               "cut off in mid-batch",
		start + "FRAME Ts":                                                     "cut off in mid-batch",
		"FRAME TsMs=1\nCREATE EndId=e Nonce64=1 Conf={\n":                      "line 2: field Conf",
	} {
		if _, err := play(bad); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, wanted %q", bad[max(len(bad)-60, 0):], err, want)
		}
	}
}

// Many instances act as each would alone.
func TestInstancesShareNothing(t *testing.T) {
	of := func(ends ...int) string {
		var in strings.Builder
		for step := range 200 {
			fmt.Fprintf(&in, "FRAME TsMs=%d\n", 1000+step*8)
			for _, e := range ends {
				if step == 0 {
					in.WriteString(strings.TrimSuffix(strings.TrimPrefix(strings.ReplaceAll(strings.ReplaceAll(start, "end-0",
						fmt.Sprint("end-", e)), "Nonce64=7", fmt.Sprint("Nonce64=", e)), "FRAME TsMs=1000\n"), "COMMIT\n"))
				} else {
					in.WriteString(strings.NewReplacer("end-0", fmt.Sprint("end-", e), "00aa", fmt.Sprintf("%04x", step)).
						Replace(event))
				}
			}
			in.WriteString("COMMIT\n")
		}
		out, err := play(in.String())
		if err != nil {
			t.Fatal(err)
		}
		var kept []string
		for _, l := range strings.Split(out, "\n") {
			if strings.Contains(l, "EndId=end-1 ") {
				kept = append(kept, l)
			}
		}
		return strings.Join(kept, "\n")
	}
	if of(1) != of(0, 1, 2) || len(of(1)) < 100 {
		t.Error("an instance acts otherwise beside others")
	}
}
