package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// drainLimit is how long after the drain call a connection may be open on which requests
// are sent.
const drainLimit = 4 * time.Second

// steadyClient sends commands on one connection without waiting for the answers.
type steadyClient struct {
	firstID int
	pause   time.Duration // between two commands; 0: it never pauses
	depth   int           // commands without an answer, at most

	answers []string // first lines, in the order of the commands
	ended   chan error
}

// run sends commands until the connection ends.
func (c *steadyClient) run(conn net.Conn, in *bufio.Reader) {
	c.ended = make(chan error, 1)
	open := make(chan struct{}, c.depth)
	stop := make(chan struct{})
	fields := strings.Replace(readFields, "d=50000", "d=2000", 1)
	var writing sync.WaitGroup
	writing.Go(func() {
		for id := c.firstID; ; id++ {
			select {
			case open <- struct{}{}:
			case <-stop:
				return
			}
			if _, err := io.WriteString(conn, encodeRead(id, fields)); err != nil {
				return
			}
			if c.pause > 0 {
				time.Sleep(c.pause)
			}
		}
	})
	go func() {
		err := c.read(in, open)
		close(stop)
		conn.Close()
		writing.Wait()
		c.ended <- err
	}()
}

func (c *steadyClient) read(in *bufio.Reader, open <-chan struct{}) error {
	for {
		line, err := in.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "$") {
			_, err = in.ReadString('\n')
		}
		if err != nil {
			return err
		}
		c.answers = append(c.answers, line)
		<-open
	}
}

// Guards against a drain by an operator that never ends, since the clients always have
// commands under way: no connection had a moment without one. What was sent on is answered.
func TestDrainEndsPipelinedConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		depth int
		took  time.Duration // by a backend
	}{
		{"140 a second", 7 * time.Millisecond, 64, 60 * time.Millisecond},
		{"never pauses", 0, 64, 60 * time.Millisecond},
		{"never pauses, a thousand ahead", 0, 1000, 5 * time.Millisecond},
		{"slow answers", 7 * time.Millisecond, 64, 900 * time.Millisecond},
		{"two at a time", 0, 2, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var sentOn []int
			backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				mu.Lock()
				sentOn = append(sentOn, requestID(args))
				mu.Unlock()
				time.Sleep(c.took)
				return servedReply
			})
			list := endpointList(backend.Addr, backend.Addr, backend.Addr)
			instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
			conn, in := dial(t, instance.Addr().String())
			client := &steadyClient{firstID: 1, pause: c.pause, depth: c.depth}
			client.run(conn, in)
			time.Sleep(time.Second)
			requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
			select {
			case err := <-client.ended:
				if !errors.Is(err, io.EOF) {
					t.Errorf("the connection ended with %v, want a clean end", err)
				}
			case <-time.After(drainLimit):
				t.Fatalf("the connection is open %v after the drain", drainLimit)
			}
			mu.Lock()
			last := slices.Max(sentOn)
			mu.Unlock()
			if last > len(client.answers) {
				t.Errorf("request %d was sent on, and %d were answered", last, len(client.answers))
			}
			requireAdminCall(t, instance, "PUT", "/v1/ingress/activate", 200)
			requireServed(t, instance)
		})
	}
}

// A connection that is opened late into a drain is served, and closed after its reply.
func TestNewConnectionDuringDrainIsServed(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	time.Sleep(time.Second)
	requireServed(t, instance)
}

// requireServed sends one request on a new connection.
func requireServed(t *testing.T, instance *Instance) {
	t.Helper()
	conn, in := dial(t, instance.Addr().String())
	io.WriteString(conn, encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", 1<<30), readFields))
	requireValue(t, in)
}

// A client that sends PING at full speed never leaves a moment without an unread command.
// Its connection is closed behind one of them.
func TestDrainEndsConnectionThatNeverPauses(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	conn, in := dial(t, instance.Addr().String())
	var writing sync.WaitGroup
	writing.Go(func() {
		text := strings.Repeat(encodeCommand("PING"), 1000)
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, in)
		ended <- err
	}()
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the connection ended with %v, want a clean end", err)
		}
	case <-time.After(drainLimit):
		t.Errorf("the connection is open %v after the drain", drainLimit)
	}
	conn.Close()
	writing.Wait()
}
