package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// brokenValueCase is a connection on which commands are sent at once, some of which have
// long values.
type brokenValueCase struct {
	name   string
	long   []int         // positions of the commands whose value is long
	broken []int         // positions of those whose backend resets the connection within the value
	count  int           // of commands
	begun  int           // bytes of a broken value that are sent
	pause  time.Duration // between them and the reset or the rest
}

const brokenValueSize = 300 << 10

// reply writes the reply of a backend to the command at a position.
func (c brokenValueCase) reply(position int, nc net.Conn) string {
	if !slices.Contains(c.long, position) {
		return encodeValue(randomValue(position, 10))
	}
	reply := encodeValue(randomValue(position, brokenValueSize))
	io.WriteString(nc, reply[:c.begun])
	time.Sleep(c.pause)
	if slices.Contains(c.broken, position) {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		return ""
	}
	return reply[c.begun:]
}

// send starts an ingress, and sends all commands to it at once; fields are those of the
// first one.
func (c brokenValueCase) send(t *testing.T, fields string) (net.Conn, *bufio.Reader) {
	t.Helper()
	backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
		return c.reply(requestID(args), nc)
	})
	list := endpointList(slices.Repeat([]string{backend.Addr}, 4)...)
	addr, _ := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	all := encodeRead(0, fields)
	for id := 1; id < c.count; id++ {
		all += encodeRead(id, readFields)
	}
	io.WriteString(nc, all)
	return nc, in
}

// Guards against commands that have run and are never answered, since an earlier value on
// their connection broke off. The value's own request has failed.
func TestCommandsBehindBrokenValueAreAnswered(t *testing.T) {
	for _, c := range []brokenValueCase{
		{name: "first", long: []int{0}, broken: []int{0}, count: 9, begun: 150_000, pause: 600 * time.Millisecond},
		{name: "middle", long: []int{4}, broken: []int{4}, count: 9, begun: 150_000, pause: 600 * time.Millisecond},
		{name: "last", long: []int{8}, broken: nil, count: 9, begun: 150_000, pause: 600 * time.Millisecond},
		{name: "two", long: []int{0, 3}, broken: []int{0, 3}, count: 9, begun: 99_000, pause: 300 * time.Millisecond},
		{name: "the second of two", long: []int{0, 3}, broken: []int{3}, count: 6, begun: 99_000, pause: time.Second},
		{name: "behind its header", long: []int{0}, broken: []int{0}, count: 64, begun: 14, pause: time.Second / 3},
		{name: "near its end", long: []int{1}, broken: []int{1}, count: 30, begun: brokenValueSize, pause: time.Second},
		{name: "whole", long: []int{0, 2, 3}, count: 9, begun: 150_000, pause: 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			nc, in := c.send(t, readFields)
			for id := range c.count {
				c.requireAnswer(t, in, id)
			}
			io.WriteString(nc, encodeRead(c.count, readFields))
			c.requireAnswer(t, in, c.count)
		})
	}
}

// Guards against the same loss where the value breaks off later than it can be held back.
func TestCommandsBehindLateBrokenValueAreAnswered(t *testing.T) {
	c := brokenValueCase{long: []int{0}, broken: []int{0}, count: 9, begun: 150_000, pause: 2500 * time.Millisecond}
	_, in := c.send(t, readFields)
	if got, err := readValue(in); err == nil {
		t.Fatalf("a truncated value was answered as one of %d bytes", len(got))
	}
	for id := 1; id < c.count; id++ {
		c.requireAnswer(t, in, id)
	}
}

// requireAnswer reads the answer to the command at a position.
func (c brokenValueCase) requireAnswer(t *testing.T, in *bufio.Reader, position int) {
	t.Helper()
	if slices.Contains(c.broken, position) {
		if got := readLine(t, in); got != "-ERR failed" {
			t.Fatalf("command %d, whose value broke off, was answered %.40q", position, got)
		}
		return
	}
	size := 10
	if slices.Contains(c.long, position) {
		size = brokenValueSize
	}
	if got, err := readValue(in); err != nil || !bytes.Equal(got, randomValue(position, size)) {
		t.Fatalf("command %d: got %d bytes, %v, want the value of %d bytes", position, len(got), err, size)
	}
}

// Guards against commands that are sent on while a long value is written on their
// connection: if it breaks off, their answers are lost.
func TestNothingIsSentOnDuringLongValue(t *testing.T) {
	value := newReleasedValue(t)
	value.begin(t)
	value.breaks = true
	close(value.release)
	if got, err := readValue(value.in); err == nil {
		t.Fatalf("a truncated value was answered as one of %d bytes", len(got))
	}
	if n := value.forwarded.Load(); n != 0 {
		t.Errorf("%d commands were sent on behind a value that broke off", n)
	}
}

// Commands behind a long value that is being written are served once it is whole.
func TestCommandsWaitForLongValue(t *testing.T) {
	value := newReleasedValue(t)
	behind := value.begin(t)
	close(value.release)
	if got, err := readValue(value.in); err != nil || !bytes.Equal(got, randomValue(0, brokenValueSize)) {
		t.Fatalf("got %d bytes, %v, want the value", len(got), err)
	}
	for range behind {
		requireValue(t, value.in)
	}
}

// releasedValue is a connection to an ingress whose backend writes a part of a long value
// for the first command, and the rest once it is released.
type releasedValue struct {
	nc        net.Conn
	in        *bufio.Reader
	release   chan struct{}
	breaks    bool // the backend closes the connection instead
	forwarded atomic.Int32
}

func newReleasedValue(t *testing.T) *releasedValue {
	t.Helper()
	const part = 200_000
	value := &releasedValue{release: make(chan struct{})}
	backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
		if requestID(args) > 0 {
			value.forwarded.Add(1)
			return servedReply
		}
		reply := encodeValue(randomValue(0, brokenValueSize))
		io.WriteString(nc, reply[:part])
		<-value.release
		if value.breaks {
			nc.Close()
			return ""
		}
		return reply[part:]
	})
	list := endpointList(slices.Repeat([]string{backend.Addr}, 2)...)
	addr, _ := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	value.nc, value.in = dial(t, addr)
	return value
}

// begin sends the first command, and others once a part of its value has come. It returns
// their number, and fails the test if one is sent on.
func (v *releasedValue) begin(t *testing.T) (behind int) {
	t.Helper()
	const commands = 5
	io.WriteString(v.nc, encodeRead(0, readFields))
	if _, err := v.in.Peek(20); err != nil {
		t.Fatal(err)
	}
	for id := range commands {
		io.WriteString(v.nc, encodeRead(1+id, readFields))
	}
	time.Sleep(200 * time.Millisecond) // in which a command would be forwarded
	if n := v.forwarded.Load(); n != 0 {
		t.Errorf("%d commands were sent on within the value", n)
	}
	return commands
}

// A long value with commands behind it begins in its client's time although it is not
// complete, and at the latest maxValueHold after its first bytes.
func TestHeldValueBeginsInTime(t *testing.T) {
	const pause = 2500 * time.Millisecond
	for _, c := range []struct {
		wait     string // of the client
		min, max time.Duration
	}{
		{"d=800", 600 * time.Millisecond, 800 * time.Millisecond},
		{"d=20000", 1400 * time.Millisecond, 1900 * time.Millisecond},
	} {
		t.Run(c.wait, func(t *testing.T) {
			t.Parallel()
			value := brokenValueCase{long: []int{0}, count: 2, begun: 150_000, pause: pause}
			_, in := value.send(t, strings.Replace(readFields, "d=50000", c.wait, 1))
			began := time.Now()
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took < c.min || took > c.max {
				t.Errorf("the first byte came after %v, want %v to %v", took, c.min, c.max)
			}
			value.requireAnswer(t, in, 0)
			value.requireAnswer(t, in, 1)
		})
	}
}
