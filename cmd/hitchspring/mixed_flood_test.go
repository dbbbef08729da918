package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/lab/respclient"
	"hitchspring/internal/standin/scripted"
)

const (
	mixedFloodTime    = 10 * time.Second
	mixedFloodClients = 300
	mixedFloodCores   = 3 // that they use at most, in a process of their own
	keptClients       = 10
	keptBodyBytes     = 30_000
	keptPause         = 70 * time.Millisecond // between two requests of a kept connection
	keptDepth         = 60                    // requests without an answer on a kept connection, at most
	keptDeadline      = 600 * time.Millisecond
	// heldUpSlack is for answers that this process reads late, since it plays all clients.
	heldUpSlack = 100 * time.Millisecond
)

// mixedFloodKind is what a hostile client does on one connection: it writes a text so many times and stays for a while.
type mixedFloodKind struct {
	writes int
	text   func(n int) string
	stay   time.Duration
}

var mixedFlood = []mixedFloodKind{
	{1, func(int) string { return strings.Repeat("GARBAGE\r\n", 10_000) }, 0},
	{300, func(n int) string { return oneRequest(n, "a") }, 100 * time.Millisecond},
	{1, func(int) string { return strings.Repeat(pingCommand, 900) }, 0},
	{300, func(n int) string { return oneRequest(n, "none") }, 100 * time.Millisecond},
}

// oneRequest returns a request of another customer for each n.
func oneRequest(n int, class string) string {
	id := fmt.Sprintf("%016x", 1<<30+n)
	return respclient.EncodeCommand("Q.ASK", id, id, "c="+class+",t=p,d=600,units=1,spread=1,first=0", "x")
}

// Guards against answers that come seconds after their time beside hundreds of hostile clients of several kinds, which
// leave and come again: connections that are kept waited for processor time behind all new ones.
func TestMixedFloodDelaysNoAnswer(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		time.Sleep(floodBackendTime)
		return scripted.Served
	})
	list := servingList(1, backend.Addr)
	for n := 1; n < 4; n++ {
		list.Targets = append(list.Targets, target(fmt.Sprint("s", n), backend.Addr, "SERVING"))
	}
	config := healthyPlatformConfig(t, list)
	config.sockets, config.memoryMB = 1024, 192
	i := startInstance(t, config)
	startMixedFlood(t, i.listen)
	result := &keptResult{answers: map[string]int{}}
	var clients sync.WaitGroup
	var nextID atomic.Int64
	end := time.Now().Add(mixedFloodTime)
	for range keptClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				result.keepConnection(i.listen, end, &nextID)
			}
		})
	}
	clients.Wait()
	t.Logf("answers %v, %d late, the latest %v after its time", result.answers, result.late, result.latest)
	if result.late > 0 {
		t.Errorf("%d answers came over %v after their time", result.late, lateGrace)
	}
	if log := i.process.log.String(); strings.Contains(log, "invariant violated") {
		t.Errorf("invariants were violated:\n%s", log)
	}
}

// mixedFloodVariable makes the test binary play the hostile clients against the address that it holds.
const mixedFloodVariable = "HITCHSPRING_TEST_MIXED_FLOOD"

// startMixedFlood plays the hostile clients in another process until the test ends.
func startMixedFlood(t *testing.T, addr string) {
	t.Helper()
	flooders := exec.Command(os.Args[0])
	flooders.Env = append(os.Environ(), mixedFloodVariable+"="+addr, fmt.Sprint("GOMAXPROCS=", mixedFloodCores))
	if err := flooders.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		flooders.Process.Kill()
		_ = flooders.Wait() // it was killed
	})
}

// floodMixed sends input from hostile clients for mixedFloodTime.
func floodMixed(addr string) {
	end := time.Now().Add(mixedFloodTime)
	var clients sync.WaitGroup
	var number atomic.Int64
	for client := range mixedFloodClients {
		clients.Go(func() {
			kind := client % len(mixedFlood)
			for time.Now().Before(end) {
				floodOnce(addr, mixedFlood[kind], number.Add(int64(mixedFlood[kind].writes)))
			}
		})
	}
	clients.Wait()
}

// floodOnce connects, sends what a hostile client sends, reads what comes back for a moment, and leaves.
func floodOnce(addr string, kind mixedFloodKind, number int64) {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	conn.SetWriteDeadline(time.Now().Add(4 * time.Second))
	for n := range kind.writes {
		if _, err := io.WriteString(conn, kind.text(int(number)+n)); err != nil {
			return
		}
	}
	time.Sleep(kind.stay)
}

// keptResult is what the usual clients with kept connections got.
type keptResult struct {
	mu      sync.Mutex
	answers map[string]int // by their beginning, and ends of connections
	late    int
	latest  time.Duration // after the time of its request
}

// keepConnection sends requests on a connection, without waiting for the answers, until the end or until it is closed.
func (r *keptResult) keepConnection(addr string, end time.Time, nextID *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		r.add("not connected", 0)
		time.Sleep(20 * time.Millisecond)
		return
	}
	sent := make(chan time.Time, keptDepth)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer conn.Close()
		r.readAnswers(conn, sent)
	}()
	body := strings.Repeat("b", keptBodyBytes)
	for time.Now().Before(end) && !isClosed(ended) {
		fields := fmt.Sprintf("c=a,t=p,d=%d,units=1,spread=1,first=0", keptDeadline.Milliseconds())
		id := fmt.Sprintf("%016x", 1<<20+nextID.Add(1))
		command := respclient.EncodeCommand("Q.ASK", floodCustomer, id, fields, body)
		if _, err := io.WriteString(conn, command); err != nil {
			break
		}
		select {
		case sent <- time.Now():
		case <-ended:
		}
		time.Sleep(keptPause)
	}
	close(sent)
	<-ended
}

// readAnswers reads the answer to each request that was sent. The time for which one waits for those before it does not
// count.
func (r *keptResult) readAnswers(conn net.Conn, sent <-chan time.Time) {
	in := bufio.NewReader(conn)
	previous := time.Time{}
	for from := range sent {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "$") {
			_, err = in.ReadString('\n')
		}
		if err != nil {
			r.add("connection ended", 0)
			return
		}
		now := time.Now()
		if previous.After(from) {
			from = previous
		}
		previous = now
		r.add(line[:min(len(line), 5)], now.Sub(from)-keptDeadline)
	}
}

// add counts an answer that came so long after the time of its request.
func (r *keptResult) add(what string, over time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[what]++
	r.latest = max(r.latest, over)
	if over > lateGrace+heldUpSlack {
		r.late++
	}
}
