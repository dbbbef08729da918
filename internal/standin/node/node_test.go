package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func fleet(t *testing.T) *Fleet {
	began := time.Now()
	f := NewFleet(Rules{Work: map[string]Work{"read": {time.Millisecond, time.Millisecond}, "long": {time.Hour, time.Hour}},
		KeyMemory: time.Hour, ColdShare: 0.25, WarmAfter: time.Hour, FallMultiple: 4, FallSpan: time.Second}, 1, func() time.Duration { return time.Since(began) })
	return f
}

func add(t *testing.T, f *Fleet, id string, rack int, cold bool) *Node {
	t.Helper()
	n, err := f.Add(Spec{ID: id, Zone: "a", Rack: rack, Cores: 2, Speed: 1, Room: 2}, cold)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// say sends a command on a connection of its own and returns the answer's first line.
func say(t *testing.T, n *Node, words ...string) string {
	t.Helper()
	nc, err := net.Dial("tcp", n.Addr())
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

func ask(class, id, more string) []string {
	return []string{"Q.ASK", "0000000000000001", id, "c=" + class + ",t=p,d=1000,units=1,spread=1,first=0" + more}
}

const (
	idA = "000000000000000a"
	idB = "000000000000000b"
)

// A rack drops a repeat of a key, another rack does not know it; the record says which of them took effect.
func TestKeys(t *testing.T) {
	f := fleet(t)
	t.Cleanup(f.Close)
	one, two, far := add(t, f, "one", 1, false), add(t, f, "two", 1, false), add(t, f, "far", 2, false)
	for _, n := range []*Node{one, two, far} {
		if got := say(t, n, ask("read", idA, ",k=key")...); got != "*3" {
			t.Fatal(got)
		}
	}
	var ran []bool
	for _, r := range f.Records() {
		ran = append(ran, r.Ran)
	}
	if fmt.Sprint(ran) != "[true false true]" {
		t.Fatal(ran)
	}
}

// A node that drains or has no room turns work away unseen; what cannot be read is answered so.
func TestTurnedAway(t *testing.T) {
	f := fleet(t)
	t.Cleanup(f.Close)
	n := add(t, f, "one", 1, false)
	n.Drain(true)
	if got := say(t, n, ask("read", idA, "")...); got != "-BUSY" {
		t.Fatal(got)
	}
	n.Drain(false)
	if got := say(t, n, ask("read", idB, "")...); got != "*3" {
		t.Fatal(got)
	}
	if got := say(t, n, "Q.ASK", "x", idB, "c=read"); got != "-SYNTAX" {
		t.Fatal(got)
	}
	if got := say(t, n, "INFO", "load"); got != "$5" {
		t.Fatal(got)
	}
	recs := f.Records()
	if len(recs) != 2 || !recs[0].Busy || recs[1].Busy || recs[1].ID != idB || recs[1].Units != 1 {
		t.Fatalf("%+v", recs)
	}
}

// A cold node that is sent more than it can bear falls over and stays down; a warm one does not.
func TestPushedOver(t *testing.T) {
	f := NewFleet(Rules{Work: map[string]Work{"read": {100 * time.Millisecond, 100 * time.Millisecond}}, ColdShare: 0.25, WarmAfter: time.Hour, FallMultiple: 4, FallSpan: time.Hour}, 1,
		func() time.Duration { return 0 })
	warm, cold := &Node{Spec: Spec{Cores: 1, Speed: 1, Room: 1000}, f: f, free: make([]time.Duration, 1)}, &Node{Spec: Spec{Cores: 1, Speed: 1, Room: 1000}, f: f, free: make([]time.Duration, 1), cold: true}
	f.rules.FallSpan = time.Second // capacity 0.25 a second, four times that is one second of work, and the slack
	for _, n := range []*Node{warm, cold} {
		n.ln = nopListener{}
		for range 12 {
			n.submit(Record{Class: "read"})
		}
		if n.fell {
			t.Fatal("fell too early")
		}
		n.submit(Record{Class: "read"})
	}
	if warm.fell || !cold.fell {
		t.Fatal(warm.fell, cold.fell)
	}
}

type nopListener struct{ net.Listener }

func (nopListener) Close() error { return nil }

// Whatever comes, a node either can read it or says so.
func FuzzParse(f *testing.F) {
	f.Add("0000000000000001", idA, "c=read,t=p,d=1000,units=1,spread=1,first=0")
	f.Fuzz(func(t *testing.T, customer, id, fields string) {
		r, ok := parse([][]byte{[]byte("Q.ASK"), []byte(customer), []byte(id), []byte(fields)})
		if ok && (r.Class == "" || r.Plan == "" || !(r.Units > 0) || len(r.ID) != 16) {
			t.Fatalf("%q: %+v", fields, r)
		}
	})
}
