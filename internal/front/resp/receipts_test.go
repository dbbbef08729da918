package resp

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/core"
)

// A connection waits in the listen queue for a slot, with its commands. Their time
// counts from their arrival and not from when the slot was free, so that backends
// aren't given time that the client no longer has.
func TestAgeOfCommandsInListenQueue(t *testing.T) {
	for _, writes := range []int{1, 3} { // the last of them just before the connection is accepted
		t.Run(fmt.Sprint(writes, " writes"), func(t *testing.T) { testAgeOfCommandsInListenQueue(t, writes) })
	}
}

func testAgeOfCommandsInListenQueue(t *testing.T, writes int) {
	t.Helper()
	const waited = 400 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := arrivalCore{newManualCore(200), time.Now()}
	f := New(ln, fake, 1, 1<<20)
	f.Start()
	dial := func(id, writes int) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		commands := encodeRequest(id) + strings.Repeat(encodeRequest(id+10), 40) // more than one read takes
		if _, err := io.WriteString(conn, commands); err != nil {
			t.Fatal(err)
		}
		for n := 1; n < writes; n++ { // a part of a further command
			time.AfterFunc(waited*time.Duration(n)/time.Duration(writes-1)-waited/20, func() {
				io.WriteString(conn, encodeRequest(id + 10*n)[:n])
			})
		}
	}
	const commandsPerConnection = 41
	answer := func(n int, check func(*core.Request)) {
		for range n {
			select {
			case request := <-fake.submitted:
				check(request)
				request.Sink.Deliver(core.Answer{Kind: core.Failed})
			case <-time.After(10 * time.Second):
				t.Fatal("a command is not taken")
			}
		}
	}
	dial(1, 1)
	answer(commandsPerConnection-1, func(*core.Request) {})
	last := <-fake.submitted // its connection has the one slot until it is answered
	sent := time.Since(fake.start)
	dial(2, writes)
	time.AfterFunc(waited, func() { last.Sink.Deliver(core.Answer{Kind: core.Failed}) })
	answer(commandsPerConnection, func(request *core.Request) {
		if request.GiveUpAt-sent > waited/2 {
			t.Errorf("a command that arrived at %v, and was taken at %v, counts from %v",
				sent, time.Since(fake.start), request.GiveUpAt)
		}
	})
	f.Close()
	f.stop()
}

// More arrives behind a full pipeline window than is read ahead: the rest lies in
// the kernel. When it is read, it counts as arrived no later than when reading
// stopped.
func TestAgeOfCommandsBeyondReadAhead(t *testing.T) {
	const waited, large = 600 * time.Millisecond, 100 // more than the kernel holds for us: the rest is in the client's
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := arrivalCore{newManualCore(200), time.Now()}
	f := New(ln, fake, 4, 1<<20)
	f.Start()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var text strings.Builder
	for id := range maxPipelined + large {
		if id < maxPipelined {
			text.WriteString(encodeRequest(id))
		} else {
			text.WriteString(encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", id),
				"c=read,t=p,d=50000,units=1,spread=1,first=0", strings.Repeat("b", readAheadBytes/4)))
		}
	}
	go io.Copy(io.Discard, conn)
	go io.WriteString(conn, text.String())
	sent := time.Since(fake.start)
	for id := range maxPipelined + large {
		if id == 1 { // the others wait until then
			time.Sleep(waited)
		}
		select {
		case request := <-fake.submitted:
			if arrivedAt := request.GiveUpAt; arrivedAt-sent > waited/2 {
				t.Fatalf("command %d came at %v, and counts from %v", id, sent, arrivedAt)
			}
			request.Sink.Deliver(core.Answer{Kind: core.Failed})
		case <-time.After(10 * time.Second):
			t.Fatalf("command %d is not taken", id)
		}
	}
	f.Close()
	f.stop()
}
