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

// manualCore passes each submitted request to the test, which answers it.
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
		Name:             "read",
		LatencyObjective: time.Second,
		Deadline:         time.Minute,
		Effect:           policy.Safe,
	}, name == "read"
}
func (manualCore) ReserveMemory(int) bool                                        { return true }
func (manualCore) ReleaseMemory(int)                                             {}
func (manualCore) Plan(string) bool                                              { return true }
func (manualCore) Instances() int                                                { return 1 }
func (manualCore) MaxUnits() float64                                             { return 4 }
func (manualCore) GiveUpAt(policy.Class, time.Time, time.Duration) time.Duration { return time.Minute }

// gatedConn is a TCP connection whose reads a test can delay, either before the system
// call or between the system call and the return of Read.
type gatedConn struct {
	*net.TCPConn
	beforeRead, afterRead chan struct{} // a read receives from each; nil: no delay
	holdsData             atomic.Bool   // a read has data and waits for afterRead
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

// testMemory is enough for the replies to a full pipeline of one connection.
const testMemory = 2 * maxPipelined * maxReplyBytes

// testConnection is a connection of a front over TCP, with its only client.
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
	tc.front = New(listener, tc.manualCore, 4, testMemory)
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
			t.Error("the connection is still being served")
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

// nextRequest waits for the next submitted request.
func (tc *testConnection) nextRequest(t *testing.T) *core.Request {
	t.Helper()
	select {
	case r := <-tc.submitted:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not submitted")
		return nil
	}
}

func (tc *testConnection) wantLine(t *testing.T, want string) {
	t.Helper()
	if got, err := tc.replies.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		t.Fatalf("got line %q, error %v; want %s", got, err, want)
	}
}

func (tc *testConnection) wantEnd(t *testing.T) {
	t.Helper()
	if rest, err := io.ReadAll(tc.replies); err != nil || len(rest) > 0 {
		t.Fatalf("got %q, error %v; want the end of the connection", rest, err)
	}
}

// awaitEndRequest waits until the end of the connection has been requested or the
// connection has finished.
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
			t.Fatal("the end of the connection was not requested")
		}
	}
}

// The end of a connection is requested while a command is in the kernel's buffer, or
// has been read but not handled. Either way the client wrote it to an open connection,
// so it must be answered before the connection ends.
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
				if gate == nil { // wait until the command has been read
					gate = tc.gated.afterRead
					for !tc.gated.holdsData.Load() {
						time.Sleep(time.Millisecond)
					}
				} else { // wait until the command is in the kernel's buffer
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

// A connection stays open during a shutdown because a reply is pending, and the client
// sends further commands on it. They were written to an open connection, so they must
// be read and rejected after the pending reply.
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
			t.Fatal("the late commands were not read")
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
		t.Errorf("%d late commands were submitted, want 0", n)
	}
}

// A client's disconnect is noticed at once, whatever the reader is waiting for, and
// the core is notified of its requests.
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
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // the rest doesn't fit and is not sent
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
					t.Fatal("the client's disconnect was not noticed")
				}
			}
			if took := time.Since(closedAt); took > 300*time.Millisecond {
				t.Errorf("the disconnect was noticed after %v, want at most 300 ms", took)
			}
		})
	}
}

// A front that is draining but not terminating still serves one request on each
// connection, and closes the connection after the reply.
func TestDrainingFrontServes(t *testing.T) {
	tc := newTestConnection(t, nil)
	tc.front.drainingSince.Store(time.Now().Add(-drainRejectAfter - time.Second).UnixNano())
	tc.send(t, encodeRequest(1))
	tc.nextRequest(t).Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("value")})
	tc.wantLine(t, "$5")
	tc.wantLine(t, "value")
	tc.wantEnd(t)
}

// Upper-case and lower-case hex digits denote the same tenant, with the same quota.
func TestTenantIgnoresCaseOfDigits(t *testing.T) {
	front := New(nil, manualCore{}, 1, 1<<20)
	for _, digits := range []string{"00000000b4d65521", "00000000B4D65521"} {
		var args [][]byte
		for _, arg := range []string{"Q.ASK", digits, "9b1f03aa5c7e2d41", "c=read,t=p,d=500,units=1,spread=1,first=0"} {
			args = append(args, []byte(arg))
		}
		request, err := front.Rebuild(args)
		if err != nil || request.Tenant != "00000000b4d65521" {
			t.Errorf("tenant %s: got request %v, error %v", digits, request, err)
		}
	}
}
