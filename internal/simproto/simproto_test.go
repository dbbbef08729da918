package simproto

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"hitchspring/policy"
)

// beginMsg starts instance 3.
const beginMsg = "BEGIN\ti=3\tnonce64=18446744073709551615\tfacts={\"me\":0,\"replicasOfMe\":2,\"unknown\":{\"a\":1}," +
	"\"classes\":[{\"name\":\"read\",\"value\":1,\"objectiveUs\":500000,\"deadlineUs\":2000000,\"effect\":\"odd\"}]}\n"

// runHost returns the output and the error of Host for an input.
func runHost(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	out, err := runHost(t, "SYNC\twallUs=8\nYOUR_TURN\nSYNC\twallUs=9\nYOUR_TURN\n")
	if err != nil || out != "NEXT\nNEXT\n" {
		t.Fatalf("got %q, %v; want two empty replies", out, err)
	}
}

func TestRequestIsSentToAListedBackend(t *testing.T) {
	out, err := runHost(t, "SYNC\twallUs=1000000\n"+beginMsg+
		"MEMBERSHIP\ti=3\tform=cached\tgeneration=1\tmembers=1\nM\tbackend=10.0.0.1:80\taz=a\tlifecycle=on\n"+
		"SOMETHING_NEW\ti=3\tx=1\n"+
		"ARRIVAL\ti=3\tcall=4294967295\tqos=read\tterms=none\tholder=aa\tgiveUpAtUs=3000000\tnew=1\nYOUR_TURN\n")
	if err != nil || !strings.Contains(out, "TRANSMIT\ti=3\tcall=4294967295\tbackend=10.0.0.1:80\n") {
		t.Fatalf("got %q, %v; want an attempt at the listed backend", out, err)
	}
}

func TestManyRestartsInOneBatch(t *testing.T) {
	in := "SYNC\twallUs=1\n" + strings.Repeat(beginMsg+"DESTROY\ti=3\n", 50) + "DROPPED\ti=3\tcall=1\nYOUR_TURN\n"
	if out, err := runHost(t, in); err != nil || out != "NEXT\n" {
		t.Fatalf("got %q, %v; want an empty reply", out, err)
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	const sync = "SYNC\twallUs=1\n"
	for in, want := range map[string]string{
		"SYNC\twallUs=x\n":                                                  "line 1: field wallUs",
		sync + "DROPPED\tcall=1\nYOUR_TURN\n":                               "line 2: DROPPED: field i: missing",
		sync + "DROPPED\ti=1\tcall=99999999999\nYOUR_TURN\n":                "field call",
		sync + "COUNTER_REPLY\ti=1\tcounter=a\tstateCode=done\ttotal=NaN\n": "field total",
		sync + "MEMBERSHIP\ti=1\tform=full\tmembers=2\nM\tbackend=a\n":      "members",
		sync + "BEGIN\ti=1\tfacts={\n":                                      "field facts",
		sync + "TICK_DUE\ti=1\n":                                            "inside a batch",
		sync + "TICK_DUE\ti=1":                                              "cut off",
		"TICK_DUE\ti=1\n":                                                   "before a batch",
	} {
		if _, err := runHost(t, in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", in, err, want)
		}
	}
}

func TestUnusableSettingsBecomeAFault(t *testing.T) {
	out, err := runHost(t, "SYNC\twallUs=1\nBEGIN\ti=3\tnonce64=1\tfacts={}\nYOUR_TURN\n")
	if err != nil || !strings.HasPrefix(out, "PANIC\ti=3\ttext=") {
		t.Fatalf("got %q, %v; want a fault of the instance", out, err)
	}
}

func TestActionsBecomeLines(t *testing.T) {
	for _, c := range []struct {
		action policy.Action
		want   string
	}{
		{
			policy.SendAttempt{ID: 2, Backend: "b", StopAt: 7 * time.Microsecond},
			"TRANSMIT\ti=1\tcall=2\tbackend=b\tstopAtUs=7\n",
		},
		{policy.CancelAttempt{ID: 2, Attempt: 1}, "REVOKE\ti=1\tcall=2\ttry=1\n"},
		{policy.Reject{ID: 2}, "BUSY\ti=1\tcall=2\n"},
		{policy.Fail{ID: 2}, "DROP_REQUEST\ti=1\tcall=2\n"},
		{
			policy.AddToCounter{Name: "c", Add: -1.5, Retention: time.Millisecond},
			"INCR\ti=1\tcounter=c\tadd=-1.5\tkeepForUs=1000\n",
		},
		{policy.NotifyInstance{To: -1, Body: []byte("hi 7")}, "NOTIFY\ti=1\tdest=all\tmsg=aGkgNw==\n"},
		{policy.NotifyInstance{To: 2}, "NOTIFY\ti=1\tdest=2\tmsg=-\n"},
		{policy.LogLine{Text: "a\nb"}, "EMIT\ti=1\ttext=a b\n"},
		{policy.ProbeBackend{Backend: "b"}, "TEST\ti=1\tbackend=b\n"},
		{policy.CloseIdleConnections{Backend: "b"}, "LET_GO\ti=1\tbackend=b\n"},
		{policy.WatchEndpoints{}, "KEEP_INFORMED\ti=1\ton=1\n"},
		{policy.FetchEndpoints{}, "QUERY_ALL\ti=1\n"},
		{policy.SetTimer{After: 10 * time.Microsecond}, "TIMER\ti=1\tspanUs=10\tref=t\n"},
	} {
		if got := string(AppendAction(nil, 1, c.action)); got != c.want {
			t.Errorf("%T: got %q, want %q", c.action, got, c.want)
		}
	}
}
