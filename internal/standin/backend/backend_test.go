package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
)

// newTestFleet returns a fleet in which reads take 1 ms. It is closed when the test ends.
func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	began := time.Now()
	f := NewFleet(Rules{
		Work:             map[string]Work{"read": {time.Millisecond, time.Millisecond}},
		KeyRetention:     time.Hour,
		SlowStartShare:   0.25,
		SlowStartWindow:  time.Hour,
		OverloadMultiple: 4,
		OverloadSpan:     time.Second,
	}, 1, func() time.Duration { return time.Since(began) })
	t.Cleanup(f.Close)
	return f
}

// addBackend adds a backend without slow start.
func addBackend(t *testing.T, f *Fleet, id string, rack int) *Backend {
	t.Helper()
	spec := Spec{ID: id, Zone: "a", Rack: rack, Cores: 2, Speed: 1, QueueCapacity: 2}
	b, err := f.Add(spec, "127.0.0.1", false, 2)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sendCommand sends a command on a new connection and returns the first line of the reply, or "refused" or "reset".
func sendCommand(t *testing.T, b *Backend, args ...string) string {
	t.Helper()
	nc, err := net.Dial("tcp", b.Addr(1))
	if err != nil {
		return "refused"
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	writeCommand(nc, args)
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "reset"
	}
	return strings.TrimSpace(line)
}

// writeCommand writes a command in RESP2.
func writeCommand(nc net.Conn, args []string) {
	fmt.Fprintf(nc, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(arg), arg)
	}
}

// readCommand returns the arguments of a read command with the given ID and additional fields.
func readCommand(id, more string) []string {
	return []string{"Q.ASK", "0000000000000001", id, "c=read,t=p,d=1000,units=1,spread=1,first=0" + more}
}

const (
	idA = "000000000000000a"
	idB = "000000000000000b"
)

// Backends of one rack deduplicate commands with the same idempotency key; another rack executes the command again. The
// records show which commands took effect.
func TestKeys(t *testing.T) {
	f := newTestFleet(t)
	one := addBackend(t, f, "one", 1)
	two := addBackend(t, f, "two", 1)
	far := addBackend(t, f, "far", 2)
	for _, b := range []*Backend{one, two, far} {
		if got := sendCommand(t, b, readCommand(idA, ",k=key")...); got != "*3" {
			t.Fatalf("reply: got %q, want %s", got, "*3")
		}
	}
	if got, want := fates(f), "[ran remembered ran]"; got != want {
		t.Fatalf("fates: got %s, want %s", got, want)
	}
}

// fates returns the fates of all commands so far.
func fates(f *Fleet) string {
	var list []Outcome
	for _, r := range f.Records(0) {
		list = append(list, r.Outcome)
	}
	return fmt.Sprint(list)
}

// A draining backend rejects requests without effect, and a malformed command is answered with SYNTAX and not recorded.
func TestRejects(t *testing.T) {
	f := newTestFleet(t)
	b := addBackend(t, f, "one", 1)
	b.SetDraining(true)
	if got := sendCommand(t, b, readCommand(idA, "")...); got != "-BUSY" {
		t.Fatalf("reply: got %q, want %s", got, "-BUSY")
	}
	b.SetDraining(false)
	if got := sendCommand(t, b, readCommand(idB, "")...); got != "*3" {
		t.Fatalf("reply: got %q, want %s", got, "*3")
	}
	if got := sendCommand(t, b, "Q.ASK", "x", idB, "c=read"); got != "-SYNTAX" {
		t.Fatalf("reply: got %q, want %s", got, "-SYNTAX")
	}
	if got := sendCommand(t, b, "INFO", "load"); got != "$5" {
		t.Fatalf("reply: got %q, want %s", got, "$5")
	}
	recs := f.Records(0)
	if len(recs) != 2 || fates(f) != "[busy ran]" || recs[1].ID != idB || recs[1].Units != 1 || recs[1].Instance != 1 {
		t.Fatalf("%+v", recs)
	}
	if tr := b.Traffic(1); tr.Opened != 4 || tr.In == 0 || tr.Out == 0 {
		t.Fatalf("%+v", tr)
	}
}

// A command is recorded with its arrival time and its fate, whichever fault hits it.
func TestEveryCommandLeavesARecord(t *testing.T) {
	for rule, want := range map[string]Outcome{
		"delay 80ms": Ran, "hold 80ms": Ran, "drop-before": DroppedBefore, "drop-after": DroppedAfter, "fail": Failed,
		"cut": DroppedAfter, "repeat": Ran,
	} {
		f := newTestFleet(t)
		b := addBackend(t, f, "one", 1)
		r, err := fault.Parse(rule)
		if err != nil {
			t.Fatal(err)
		}
		b.Fault(r)
		sent := f.clock()
		sendCommand(t, b, readCommand(idA, "")...)
		f.Close()
		rec := f.Records(0)
		if len(rec) != 1 || rec[0].Outcome != want || rec[0].ArrivedAt < sent || rec[0].EndedAt < rec[0].ArrivedAt {
			t.Errorf("%s: got records %+v, want one with fate %q", rule, rec, want)
		}
		if r.DelayTime > 0 && rec[0].EndedAt-rec[0].ArrivedAt < r.DelayTime {
			t.Errorf("%s: got %v from arrival to end, want %v: the fault acted before the record",
				rule, rec[0].EndedAt-rec[0].ArrivedAt, r.DelayTime)
		}
	}
}

// A command that arrives during a partition from its instance gets no reply, and its connection is reset when the
// partition ends.
func TestCut(t *testing.T) {
	f := newTestFleet(t)
	b := addBackend(t, f, "one", 1)
	b.Partition(1, 100*time.Millisecond)
	began := f.clock()
	got := sendCommand(t, b, readCommand(idA, "")...)
	if took := f.clock() - began; got != "reset" && got != "" || took < 90*time.Millisecond {
		t.Fatalf("reply during the partition: got %q after %v, want a reset after 100ms", got, took)
	}
	if got := sendCommand(t, b, readCommand(idB, "")...); got != "*3" {
		t.Fatalf("reply: got %q, want %s", got, "*3")
	}
	if got, want := fates(f), "[cut off ran]"; got != want {
		t.Fatalf("fates: got %s, want %s", got, want)
	}
}

// newModel returns a machine with one core of speed 1, and a job of one second on it.
func newModel(rules Rules, slowStart bool) (*machine, *job) {
	m := &machine{Spec: Spec{Cores: 1, Speed: 1, QueueCapacity: 1000}, rules: &rules, slowStart: slowStart}
	return m, m.add(time.Second)
}

// isDone reports whether a job is done.
func isDone(j *job) bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// runUntilDone advances a machine in steps of 1 ms until a job is done, runs the events at their times, and returns the
// time at which the job was done.
func runUntilDone(m *machine, j *job, events map[time.Duration]func()) time.Duration {
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		m.advance(now)
		if isDone(j) {
			return now
		}
		if f := events[now]; f != nil {
			f()
		}
	}
	return time.Minute
}

// A slowdown, pause, neighbour or slow start also affects a job that is already running.
func TestMachineSlows(t *testing.T) {
	const half = 500 * time.Millisecond
	slowStartRules := Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour}
	servedRules := Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour, SlowStartRequests: 10}
	kneeRules := Rules{Knee: 10, LossAboveKnee: 0.1}
	neighbourFor := func(on time.Duration) func(*machine) {
		return func(m *machine) { m.neighbour = neighbour{0.5, on, time.Second, m.now, m.now + time.Minute} }
	}
	shortSlowdown := func(m *machine) { m.slowDown(5, time.Second) }
	slowTwice := func(m *machine) {
		m.slowDown(2, 10*time.Second)
		m.slowDown(2, 10*time.Second)
	}
	for name, c := range map[string]struct {
		rules     Rules
		slowStart bool
		event     func(*machine)
		want      time.Duration
	}{
		"undisturbed":      {want: time.Second},
		"slowdown":         {event: func(m *machine) { m.slowDown(4, 10*time.Second) }, want: half + 4*half},
		"short slowdown":   {event: shortSlowdown, want: 2*half + 400*time.Millisecond},
		"two slowdowns":    {event: slowTwice, want: half + 4*half},
		"pause":            {event: func(m *machine) { m.pausedUntil = m.now + 2*time.Second }, want: 3 * time.Second},
		"neighbour":        {event: neighbourFor(time.Second), want: half + time.Second},
		"neighbour, off":   {event: neighbourFor(200 * time.Millisecond), want: half + 600*time.Millisecond},
		"slow start":       {rules: slowStartRules, slowStart: true, want: 4 * time.Second},
		"slow start ended": {servedRules, true, func(m *machine) { m.served = 10 }, half + 875*time.Millisecond},
		"many in flight":   {rules: kneeRules, event: func(m *machine) { m.inFlight = 20 }, want: half + time.Second},
		"at the knee":      {rules: kneeRules, event: func(m *machine) { m.inFlight = 10 }, want: time.Second},
	} {
		m, j := newModel(c.rules, c.slowStart)
		events := map[time.Duration]func(){}
		if c.event != nil {
			events[half] = func() { c.event(m) }
		}
		if got := runUntilDone(m, j, events); got < c.want-8*time.Millisecond || got > c.want+8*time.Millisecond {
			t.Errorf("%s: got %v until done, want %v", name, got, c.want)
		}
	}
}

// A backend in slow start fails and states the reason when the work sent to it exceeds the overload limit. A backend
// without slow start does not.
func TestOverload(t *testing.T) {
	rules := Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour, OverloadMultiple: 4, OverloadSpan: time.Second}
	for name, c := range map[string]struct {
		slowStart bool
		n         int
		every     time.Duration
		fails     bool
	}{
		"warm":           {false, 100, 0, false},
		"at the limit":   {true, 10, 0, false},
		"over":           {true, 11, 0, true},
		"spread over 2s": {true, 20, 110 * time.Millisecond, false},
		"too fast":       {true, 20, 80 * time.Millisecond, true},
	} {
		m, _ := newModel(rules, c.slowStart)
		failed := false
		for i := range c.n {
			m.advance(time.Duration(i) * c.every)
			failed = m.addSlowStartLoad(100*time.Millisecond) || failed
		}
		if failed != c.fails || (m.failure != "") != c.fails || c.slowStart && !c.fails && m.peakLoad < 0.9 {
			t.Errorf("%s: failed %v (%q), peak overload %v", name, failed, m.failure, m.peakLoad)
		}
	}
}

// parseCommand either rejects a command or returns a record with valid required fields.
func FuzzParse(f *testing.F) {
	f.Add("0000000000000001", idA, "c=read,t=p,d=1000,units=1,spread=1,first=0")
	f.Fuzz(func(t *testing.T, tenant, id, fields string) {
		r, ok := parseCommand([][]byte{[]byte("Q.ASK"), []byte(tenant), []byte(id), []byte(fields)})
		if ok && (r.Class == "" || r.Plan == "" || !(r.Units > 0) || len(r.ID) != 16) {
			t.Fatalf("%q: %+v", fields, r)
		}
	})
}

// Under repeat-late the reply is sent again after the delay, while the connection serves further commands.
func TestRepeatLate(t *testing.T) {
	f := newTestFleet(t)
	b := addBackend(t, f, "one", 1)
	rule, err := fault.Parse("repeat-late 60ms times 1")
	if err != nil || rule.DelayTime != 60*time.Millisecond {
		t.Fatal(rule, err)
	}
	b.Fault(rule)
	nc, err := net.Dial("tcp", b.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(nc)
	value := func() string {
		t.Helper()
		var lines [5]string
		for i := range lines {
			if lines[i], err = in.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		return strings.TrimSpace(lines[2])
	}
	writeCommand(nc, readCommand(idA, ""))
	first, began := value(), time.Now()
	writeCommand(nc, readCommand(idB, ""))
	second, third := value(), value()
	if first != "value of "+idA || second != "value of "+idB || third != "value of "+idA {
		t.Fatalf("values: got %q, %q, %q, want those of a, b and a", first, second, third)
	}
	if late := time.Since(began); late < 50*time.Millisecond {
		t.Errorf("second reply: got it after %v, want 60ms", late)
	}
	if got, want := fates(f), "[ran ran]"; got != want {
		t.Fatalf("fates: got %s, want %s", got, want)
	}
}

// Close does not wait for the delay of a pending repeat-late reply.
func TestCloseDuringRepeatLate(t *testing.T) {
	f := newTestFleet(t)
	b := addBackend(t, f, "one", 1)
	b.Fault(fault.Rule{Kind: fault.RepeatLate, DelayTime: time.Hour})
	if got := sendCommand(t, b, readCommand(idA, "")...); got != "*3" {
		t.Fatalf("reply: got %q, want %s", got, "*3")
	}
	f.Close()
}
