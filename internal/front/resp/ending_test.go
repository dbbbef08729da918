package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/socket"
	"hitchspring/policy"
)

// manualCore passes each request to the test, which answers it.
type manualCore struct {
	submitted    chan *core.Request
	disconnected chan *core.Request
}

func newManualCore(capacity int) manualCore {
	return manualCore{
		submitted:    make(chan *core.Request, capacity),
		disconnected: make(chan *core.Request, capacity),
	}
}

func (c manualCore) Submit(r *core.Request) { c.submitted <- r }
func (c manualCore) NotifyDisconnected(reqs []*core.Request) {
	for _, r := range reqs {
		c.disconnected <- r
	}
}

func (manualCore) Class(name string) (policy.Class, bool) {
	return policy.Class{
		Name:             name,
		LatencyObjective: time.Second,
		Deadline:         time.Minute,
		Effect:           policy.Safe,
	}, name == "read"
}
func (manualCore) Plan(string) bool                                              { return true }
func (manualCore) Instances() int                                                { return 1 }
func (manualCore) MaxUnits() float64                                             { return 4 }
func (manualCore) GiveUpAt(policy.Class, time.Time, time.Duration) time.Duration { return time.Minute }

// gatedConn is a real connection whose reads a test delays: before the system call,
// or between the call and its return.
type gatedConn struct {
	*net.TCPConn
	beforeRead, afterRead chan struct{} // a read waits for each; nil: it doesn't
	holdsData             atomic.Bool   // a read waits for after, with what the kernel has brought
}

func (c *gatedConn) Read(b []byte) (int, error) {
	if c.beforeRead != nil {
		<-c.beforeRead
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.afterRead != nil {
		c.holdsData.Store(true)
		<-c.afterRead
	}
	return n, err
}

// testConnection is the connection of a front with one client, on a real socket.
type testConnection struct {
	manualCore
	front      *Front
	connection *connection
	gated      *gatedConn
	client     *net.TCPConn
	replies    *bufio.Reader
	done       chan struct{}
}

func newTestConnection(t *testing.T, configure func(*gatedConn)) *testConnection {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tc := &testConnection{
		manualCore: newManualCore(200), client: client.(*net.TCPConn),
		gated: &gatedConn{TCPConn: server.(*net.TCPConn)}, replies: bufio.NewReader(client), done: make(chan struct{}),
	}
	if configure != nil {
		configure(tc.gated)
	}
	client.SetReadDeadline(time.Now().Add(20 * time.Second))
	tc.front = New(listener, tc.manualCore, 4, 1<<20)
	tc.connection = newConnection(tc.front, tc.gated)
	tc.front.slots <- struct{}{}
	tc.front.connections[tc.connection] = true
	tc.front.serving.Add(1)
	go func() {
		defer close(tc.done)
		tc.connection.serve()
	}()
	t.Cleanup(func() {
		client.Close()
		server.Close()
		select {
		case <-tc.done:
		case <-time.After(20 * time.Second):
			t.Error("the connection is served still")
		}
	})
	return tc
}

func encodeCommand(args ...string) string {
	encoded := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		encoded = redcon.AppendBulkString(encoded, arg)
	}
	return string(encoded)
}

func encodeRequest(id int) string {
	return encodeCommand(
		"Q.ASK",
		"00000000b4d65521",
		fmt.Sprintf("%016x", id),
		"c=read,t=p,d=50000,units=1,spread=1,first=0",
	)
}

func (tc *testConnection) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(tc.client, text); err != nil {
		t.Fatal(err)
	}
}

// nextRequest waits for the next request that is submitted.
func (tc *testConnection) nextRequest(t *testing.T) *core.Request {
	t.Helper()
	select {
	case r := <-tc.submitted:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("a request that had come was not taken")
		return nil
	}
}

func (tc *testConnection) wantLine(t *testing.T, want string) {
	t.Helper()
	if got, err := tc.replies.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		t.Fatalf("%q, %v; want %s", got, err, want)
	}
}

func (tc *testConnection) wantEnd(t *testing.T) {
	t.Helper()
	if rest, err := io.ReadAll(tc.replies); err != nil || len(rest) > 0 {
		t.Fatalf("%q, %v; want the end", rest, err)
	}
}

// awaitEndRequest waits until the writer has requested the end of the connection,
// or has ended it itself.
func (tc *testConnection) awaitEndRequest(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		tc.connection.mu.Lock()
		requested := tc.connection.endRequested || tc.connection.phase >= finished
		tc.connection.mu.Unlock()
		if requested {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("nobody asked for the connection's end")
		}
	}
}

// The end of a connection is requested while a command lies in the kernel, or was
// read and isn't taken yet. Either was written to an open connection, so it is owed
// an answer, and the end comes after that.
func TestEndCrossesCommand(t *testing.T) {
	for where, configure := range map[string]func(*gatedConn){
		"unread": func(conn *gatedConn) { conn.beforeRead = make(chan struct{}) },
		"read":   func(conn *gatedConn) { conn.afterRead = make(chan struct{}) },
	} {
		for cause, end := range map[string]func(*testConnection){
			"idle": func(tc *testConnection) { tc.connection.close() },
			"leaves": func(tc *testConnection) {
				tc.front.drainingSince.Store(time.Now().UnixNano())
				tc.connection.close()
			},
		} {
			t.Run(where+"/"+cause, func(t *testing.T) {
				tc := newTestConnection(t, configure)
				tc.send(t, encodeRequest(1))
				gate := tc.gated.beforeRead
				if gate == nil { // it is read: an end before that crosses nothing
					gate = tc.gated.afterRead
					for !tc.gated.holdsData.Load() {
						time.Sleep(time.Millisecond)
					}
				} else { // it lies in the kernel: our side of the connection says so
					for arrived := false; !arrived; {
						arrived, _ = socket.Peek(tc.gated)
					}
				}
				end(tc)
				tc.awaitEndRequest(t)
				close(gate)
				request := tc.nextRequest(t)
				request.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("value")})
				tc.wantLine(t, "$5")
				tc.wantLine(t, "value")
				tc.wantEnd(t)
			})
		}
	}
}

// A client goes on sending on a connection that stays open during a shutdown, since
// an answer is owed on it. Late commands are rejected behind that answer and not
// left unread: they were written to an open connection.
func TestTerminatingFrontRejectsLateCommands(t *testing.T) {
	tc := newTestConnection(t, nil)
	tc.send(t, encodeRequest(1))
	first := tc.nextRequest(t)
	tc.front.drainingSince.Store(time.Now().Add(-drainRejectAfter - time.Second).UnixNano())
	tc.front.terminating.Store(true)
	tc.connection.close()
	tc.send(t, encodeRequest(2)+encodeRequest(3))
	tc.send(t, encodeRequest(4)[:40])
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		tc.connection.mu.Lock()
		n := len(tc.connection.pending)
		tc.connection.mu.Unlock()
		if n == 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("what came late was not read")
		}
	}
	tc.send(t, encodeRequest(4)[40:])
	first.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("value")})
	tc.wantLine(t, "$5")
	tc.wantLine(t, "value")
	for range 3 {
		tc.wantLine(t, "-BUSY ")
	}
	tc.wantEnd(t)
	if n := len(tc.submitted); n > 0 {
		t.Errorf("%d of them were taken", n)
	}
}

// A client's disconnect is noticed at once, wherever the reader waits, and its
// requests are abandoned.
func TestDisconnectIsNoticedWhileNothingIsRead(t *testing.T) {
	many := strings.Builder{}
	for i := range maxPipelined + 1 {
		many.WriteString(encodeRequest(i + 1))
	}
	for name, text := range map[string]string{
		"full pipeline":            many.String(),
		"more than is read ahead":  many.String() + strings.Repeat(encodeRequest(500), 800),
		"protocol error":           encodeRequest(1) + "nonsense\r\n",
		"flood of protocol errors": encodeRequest(1) + strings.Repeat("nonsense\r\n", 100000),
		"unknown commands":         encodeRequest(1) + strings.Repeat(encodeCommand("HELLO"), maxProtocolErrors-1),
		"partial command":          many.String() + encodeRequest(400)[:30],
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestConnection(t, nil)
			tc.client.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			_, err := io.WriteString(tc.client, text)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // what doesn't fit is never sent
				t.Fatal(err)
			}
			taken := min(strings.Count(text, "Q.ASK"), maxPipelined)
			for range taken {
				tc.nextRequest(t)
			}
			tc.client.Close()
			closedAt := time.Now()
			for range taken {
				select {
				case <-tc.disconnected:
				case <-time.After(10 * time.Second):
					t.Fatal("the client's leaving was not noticed")
				}
			}
			if took := time.Since(closedAt); took > 300*time.Millisecond {
				t.Errorf("noticed after %v", took)
			}
		})
	}
}

// A front that drains and isn't terminating serves each connection until its next
// answer.
func TestDrainingFrontServes(t *testing.T) {
	tc := newTestConnection(t, nil)
	tc.front.drainingSince.Store(time.Now().Add(-drainRejectAfter - time.Second).UnixNano())
	tc.send(t, encodeRequest(1))
	tc.nextRequest(t).Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("value")})
	tc.wantLine(t, "$5")
	tc.wantLine(t, "value")
	tc.wantEnd(t)
}

// A tenant is a number: in capitals it is the same one, with the same quota.
func TestTenantIgnoresCaseOfDigits(t *testing.T) {
	front := New(nil, manualCore{}, 1, 1<<20)
	for _, digits := range []string{"00000000b4d65521", "00000000B4D65521"} {
		var args [][]byte
		for _, arg := range []string{"Q.ASK", digits, "9b1f03aa5c7e2d41", "c=read,t=p,d=500,units=1,spread=1,first=0"} {
			args = append(args, []byte(arg))
		}
		request, err := front.Rebuild(args)
		if err != nil || request.Tenant != "00000000b4d65521" {
			t.Errorf("%s: %v, %v", digits, request, err)
		}
	}
}
