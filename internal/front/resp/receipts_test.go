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

// A connection waits in the listen queue for a slot while its commands have already
// arrived. Their deadlines must count from their arrival, not from the accept.
// Otherwise backends are given more time than the client has left.
func TestAgeOfCommandsInListenQueue(t *testing.T) {
	for _, writes := range []int{1, 3} { // the last write is just before the accept
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
		commands := encodeRequest(id) + strings.Repeat(encodeRequest(id+10), 40) // more than fits into one read
		if _, err := io.WriteString(conn, commands); err != nil {
			t.Fatal(err)
		}
		for n := 1; n < writes; n++ { // part of another command
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
				t.Fatal("a command was not submitted")
			}
		}
	}
	dial(1, 1)
	answer(commandsPerConnection-1, func(*core.Request) {})
	last := <-fake.submitted // its connection holds the only slot until it is answered
	sent := time.Since(fake.start)
	dial(2, writes)
	time.AfterFunc(waited, func() { last.Sink.Deliver(core.Answer{Kind: core.Failed}) })
	answer(commandsPerConnection, func(request *core.Request) {
		if request.GiveUpAt-sent > waited/2 {
			t.Errorf("a command arrived at %v and was submitted at %v, but its deadline counts from %v",
				sent, time.Since(fake.start), request.GiveUpAt)
		}
	})
	f.Close()
	f.stop()
}

// More commands arrive behind a full pipeline window than are read ahead, so the rest
// stays in the kernel's buffers. When they are read, they must count as arrived no
// later than when reading was suspended.
func TestAgeOfCommandsBeyondReadAhead(t *testing.T) {
	// 100 large commands exceed our kernel's receive buffer: the rest stays in the client's send buffer.
	const waited, large = 600 * time.Millisecond, 100
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
		if id == 1 { // all other commands wait meanwhile
			time.Sleep(waited)
		}
		select {
		case request := <-fake.submitted:
			if arrivedAt := request.GiveUpAt; arrivedAt-sent > waited/2 {
				t.Fatalf("command %d arrived at %v, but its deadline counts from %v", id, sent, arrivedAt)
			}
			request.Sink.Deliver(core.Answer{Kind: core.Failed})
		case <-time.After(10 * time.Second):
			t.Fatalf("command %d was not submitted", id)
		}
	}
	f.Close()
	f.stop()
}
