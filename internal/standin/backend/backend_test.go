package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
)

func newTestFleet(t *testing.T) *Fleet {
	began := time.Now()
	f := NewFleet(Rules{
		Work:      map[string]Work{"read": {time.Millisecond, time.Millisecond}, "long": {time.Hour, time.Hour}},
		KeyMemory: time.Hour, SlowStartShare: 0.25, SlowStartWindow: time.Hour, OverloadMultiple: 4, OverloadSpan: time.Second,
	}, 1, func() time.Duration { return time.Since(began) })
	return f
}

func addBackend(t *testing.T, f *Fleet, id string, rack int, cold bool) *Backend {
	t.Helper()
	n, err := f.Add(Spec{ID: id, Zone: "a", Rack: rack, Cores: 2, Speed: 1, QueueCapacity: 2}, "127.0.0.1", cold, 2)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// say sends a command on a connection of its own and returns the answer's first line.
func sendCommand(t *testing.T, n *Backend, words ...string) string {
	t.Helper()
	nc, err := net.Dial("tcp", n.Addr(1))
	if err != nil {
		return "refused"
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(nc, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(w), w)
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil && err != io.EOF {
		return "reset"
	}
	return strings.TrimSpace(line)
}

func askCommand(class, id, more string) []string {
	return []string{"Q.ASK", "0000000000000001", id, "c=" + class + ",t=p,d=1000,units=1,spread=1,first=0" + more}
}

const (
	idA = "000000000000000a"
	idB = "000000000000000b"
)

// A rack drops a repeat of a key, another rack does not know it; the record says which of them took effect.
func TestKeys(t *testing.T) {
	f := newTestFleet(t)
	t.Cleanup(f.Close)
	one, two, far := addBackend(t, f, "one", 1, false), addBackend(t, f, "two", 1, false), addBackend(t, f, "far", 2, false)
	for _, n := range []*Backend{one, two, far} {
		if got := sendCommand(t, n, askCommand("read", idA, ",k=key")...); got != "*3" {
			t.Fatal(got)
		}
	}
	if got := fates(f); got != "[ran remembered ran]" {
		t.Fatal(got)
	}
}

func fates(f *Fleet) string {
	var how []Fate
	for _, r := range f.Records(0) {
		how = append(how, r.Fate)
	}
	return fmt.Sprint(how)
}

// A node that drains or has no room turns work away unseen; what cannot be read is answered so.
func TestTurnedAway(t *testing.T) {
	f := newTestFleet(t)
	t.Cleanup(f.Close)
	n := addBackend(t, f, "one", 1, false)
	n.Drain(true)
	if got := sendCommand(t, n, askCommand("read", idA, "")...); got != "-BUSY" {
		t.Fatal(got)
	}
	n.Drain(false)
	if got := sendCommand(t, n, askCommand("read", idB, "")...); got != "*3" {
		t.Fatal(got)
	}
	if got := sendCommand(t, n, "Q.ASK", "x", idB, "c=read"); got != "-SYNTAX" {
		t.Fatal(got)
	}
	if got := sendCommand(t, n, "INFO", "load"); got != "$5" {
		t.Fatal(got)
	}
	recs := f.Records(0)
	if len(recs) != 2 || fates(f) != "[busy ran]" || recs[1].ID != idB || recs[1].Units != 1 || recs[1].Instance != 1 {
		t.Fatalf("%+v", recs)
	}
	if tr := n.Traffic(1); tr.Opened != 4 || tr.In == 0 || tr.Out == 0 {
		t.Fatalf("%+v", tr)
	}
}

// Whatever fault a command meets, it is recorded at the time that it came, and how it went.
func TestEveryCommandLeavesARecord(t *testing.T) {
	for rule, want := range map[string]Fate{
		"delay 80ms": Ran, "hold 80ms": Ran, "drop-before": DroppedBefore, "drop-after": DroppedAfter, "fail": Failed,
		"cut": DroppedAfter, "repeat": Ran,
	} {
		f := newTestFleet(t)
		n := addBackend(t, f, "one", 1, false)
		r, err := fault.Parse(rule)
		if err != nil {
			t.Fatal(err)
		}
		n.Fault(r)
		sent := f.clock()
		sendCommand(t, n, askCommand("read", idA, "")...)
		f.Close()
		rec := f.Records(0)
		if len(rec) != 1 || rec[0].Fate != want || rec[0].ArrivedAt < sent || rec[0].EndedAt < rec[0].ArrivedAt {
			t.Errorf("%s: %+v", rule, rec)
		}
		if r.By > 0 && rec[0].EndedAt-rec[0].ArrivedAt < r.By {
			t.Errorf("%s: it came %v before its end: the fault acted before the record", rule, rec[0].EndedAt-rec[0].ArrivedAt)
		}
	}
}

// A cut holds what comes from one instance, answers it nothing and resets it at its end; the others notice nothing.
func TestCut(t *testing.T) {
	f := newTestFleet(t)
	t.Cleanup(f.Close)
	n := addBackend(t, f, "one", 1, false)
	n.Cut(1, 100*time.Millisecond)
	began := f.clock()
	if got := sendCommand(t, n, askCommand("read", idA, "")...); got != "reset" && got != "" || f.clock()-began < 90*time.Millisecond {
		t.Fatal(got, f.clock()-began)
	}
	if got := sendCommand(t, n, askCommand("read", idB, "")...); got != "*3" {
		t.Fatal(got)
	}
	if got := fates(f); got != "[cut off ran]" {
		t.Fatal(got)
	}
}

// model is a machine of one core of speed 1, and one second of work in it.
func newModel(rules Rules, cold bool) (*machine, *job) {
	m := &machine{Spec: Spec{Cores: 1, Speed: 1, QueueCapacity: 1000}, rules: &rules, cold: cold}
	return m, m.add(time.Second)
}

func isDone(j *job) bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// runs plays a machine in steps of a millisecond until a job is done, with what happens at its times.
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

// What slows a machine also slows what runs on it already.
func TestMachineSlows(t *testing.T) {
	const half = 500 * time.Millisecond
	for name, c := range map[string]struct {
		rules Rules
		cold  bool
		event func(*machine)
		want  time.Duration
	}{
		"undisturbed": {want: time.Second},
		"slow spell":  {event: func(m *machine) { m.slowDown(4, 10*time.Second) }, want: half + 4*half},
		"a short one": {event: func(m *machine) { m.slowDown(5, time.Second) }, want: half + half + 400*time.Millisecond},
		"two at once": {event: func(m *machine) { m.slowDown(2, 10*time.Second); m.slowDown(2, 10*time.Second) }, want: half + 4*half},
		"pause":       {event: func(m *machine) { m.pausedUntil = m.now + 2*time.Second }, want: 3 * time.Second},
		"neighbour":   {event: func(m *machine) { m.neighbour = neighbour{0.5, time.Second, time.Second, m.now, m.now + time.Minute} }, want: half + time.Second},
		"neighbour, off": {event: func(m *machine) {
			m.neighbour = neighbour{0.5, 200 * time.Millisecond, time.Second, m.now, m.now + time.Minute}
		}, want: half + 600*time.Millisecond},
		"cold by time":      {rules: Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour}, cold: true, want: 4 * time.Second},
		"warm by requests":  {rules: Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour, SlowStartRequests: 10}, cold: true, event: func(m *machine) { m.served = 10 }, want: half + 875*time.Millisecond},
		"many open on it":   {rules: Rules{Knee: 10, LossBeyond: 0.1}, event: func(m *machine) { m.inFlight = 20 }, want: half + time.Second},
		"fewer than a knee": {rules: Rules{Knee: 10, LossBeyond: 0.1}, event: func(m *machine) { m.inFlight = 10 }, want: time.Second},
	} {
		m, j := newModel(c.rules, c.cold)
		events := map[time.Duration]func(){}
		if c.event != nil {
			events[half] = func() { c.event(m) }
		}
		if got := runUntilDone(m, j, events); got < c.want-8*time.Millisecond || got > c.want+8*time.Millisecond {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A cold node that is sent more than it can bear falls over and says why, whoever sent it and even what it turned away; a
// warm one does not.
func TestPushedOver(t *testing.T) {
	rules := Rules{SlowStartShare: 0.25, SlowStartWindow: time.Hour, OverloadMultiple: 4, OverloadSpan: time.Second}
	for name, c := range map[string]struct {
		cold  bool
		n     int
		every time.Duration
		falls bool
	}{
		"warm":           {false, 100, 0, false},
		"at the edge":    {true, 10, 0, false},
		"over":           {true, 11, 0, true},
		"spread over 2s": {true, 20, 110 * time.Millisecond, false},
		"too fast":       {true, 20, 80 * time.Millisecond, true},
	} {
		m, _ := newModel(rules, c.cold)
		fell := false
		for i := range c.n {
			m.advance(time.Duration(i) * c.every)
			fell = m.addOverload(100*time.Millisecond) || fell
		}
		if fell != c.falls || (m.failure != "") != c.falls || c.cold && !c.falls && m.peakOverload < 0.9 {
			t.Errorf("%s: fell %v: %q, pushed %v", name, fell, m.failure, m.peakOverload)
		}
	}
}

// Whatever comes, a node either can read it or says so.
func FuzzParse(f *testing.F) {
	f.Add("0000000000000001", idA, "c=read,t=p,d=1000,units=1,spread=1,first=0")
	f.Fuzz(func(t *testing.T, customer, id, fields string) {
		r, ok := parseCommand([][]byte{[]byte("Q.ASK"), []byte(customer), []byte(id), []byte(fields)})
		if ok && (r.Class == "" || r.Plan == "" || !(r.Units > 0) || len(r.ID) != 16) {
			t.Fatalf("%q: %+v", fields, r)
		}
	})
}

// A second answer comes late and names its own request, while the connection goes on with further commands.
func TestRepeatLate(t *testing.T) {
	f := newTestFleet(t)
	t.Cleanup(f.Close)
	n := addBackend(t, f, "one", 1, false)
	rule, err := fault.Parse("repeat-late 60ms times 1")
	if err != nil || rule.By != 60*time.Millisecond {
		t.Fatal(rule, err)
	}
	n.Fault(rule)
	nc, err := net.Dial("tcp", n.Addr(0))
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
	write := func(id string) {
		words := askCommand("read", id, "")
		fmt.Fprintf(nc, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(w), w)
		}
	}
	write(idA)
	first, began := value(), time.Now()
	write(idB)
	second, third := value(), value()
	if first != "value of "+idA || second != "value of "+idB || third != "value of "+idA {
		t.Fatal(first, second, third)
	}
	if late := time.Since(began); late < 50*time.Millisecond {
		t.Errorf("the second answer came after %v", late)
	}
	if got := fates(f); got != "[ran ran]" {
		t.Fatal(got)
	}
}

// A second answer that is still due does not hold up the node's end.
func TestRepeatLateAtTheEnd(t *testing.T) {
	f := newTestFleet(t)
	n := addBackend(t, f, "one", 1, false)
	n.Fault(fault.Rule{Kind: fault.RepeatLate, By: time.Hour})
	if got := sendCommand(t, n, askCommand("read", idA, "")...); got != "*3" {
		t.Fatal(got)
	}
	f.Close()
}
