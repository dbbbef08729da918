package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

const (
	maxDescriptors   = 256      // the platform's smallest limit, for two processes together
	maxMemoryKiB     = 32 << 10 // likewise
	loadClientCount  = 25
	maxLostAfterTerm = 2  // after SIGTERM to the first process
	maxLostAfterKill = 30 // also after SIGKILL to the second process
	suspendedBackend = "s1"
	readyTimeout     = 6 * time.Second
	readyInterval    = 20 * time.Millisecond  // between readiness checks
	suspensionDelay  = 500 * time.Millisecond // time for a suspension to take effect
)

// serverProcess is one of several processes that replace each other on an inherited socket.
type serverProcess struct {
	*process
	admin string // host:port of the admin server
}

// call sends a request to the admin server and returns the status code, or 0 if the request fails.
func (p *serverProcess) call(method, path string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// usage returns the open descriptors and the anonymous memory of the process; 0, 0 when it has ended.
func (p *serverProcess) usage() (descriptors, memoryKiB int) {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(open), p.residentKB()
}

// replacementEnv is what all processes of the test share: the socket, the files and two backends.
type replacementEnv struct {
	program    string
	configPath string
	stateDir   string
	addr       string          // of the listening socket
	socket     *os.File        // listening socket, inherited by every process
	sends      [2]atomic.Int64 // requests received, by backend
}

// newReplacementEnv opens the socket, starts the backends and writes the configuration.
func newReplacementEnv(t *testing.T) *replacementEnv {
	t.Helper()
	r := &replacementEnv{program: programPath(t), stateDir: t.TempDir()}
	r.configPath = filepath.Join(r.stateDir, "config.json")
	list := discovery.List{Rev: 1, Complete: true}
	for n := range r.sends {
		backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
			r.sends[n].Add(1)
			time.Sleep(backendLatency)
			return scripted.Served
		})
		list.Targets = append(list.Targets, target(fmt.Sprint("s", n), backend.Addr, "SERVING"))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r.addr = listener.Addr().String()
	if r.socket, err = listener.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.socket.Close() })
	known, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, r.configPath, fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","known":%s,
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":{"replicasOfMe":1,
		"permissions":{"maxAttempts":3,"retryAfter":true,"maxRetryAfterUs":500000},
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}],
		"contracts":[{"name":"p","price":1}]}}`,
		r.addr, scripted.Registry(t, list, nil), known, maxMemoryKiB>>10, maxDescriptors))
	return r
}

// start starts another process and waits until it is ready.
func (r *replacementEnv) start(t *testing.T) *serverProcess {
	t.Helper()
	admin := freeAddr(t)
	environment := []string{
		"ROUTER_CONFIG=" + r.configPath,
		"ROUTER_ADMIN_ADDR=" + admin,
		"ROUTER_SOCKET_FD=3",
		"TMPDIR=" + r.stateDir,
	}
	started, err := startProcess(r.program, environment, r.socket)
	if err != nil {
		t.Fatal(err)
	}
	p := &serverProcess{process: started, admin: admin}
	t.Cleanup(func() {
		p.kill()
		t.Logf("log of the process at %s:\n%s", p.admin, &p.log)
	})
	for end := time.Now().Add(readyTimeout); p.call("GET", "/v1/readyz") != http.StatusOK; time.Sleep(readyInterval) {
		if time.Now().After(end) {
			t.Fatalf("the process is not ready within %v", readyTimeout)
		}
	}
	return p
}

// loadClients generate load. Each sends one request after the other, and reconnects when a process closes its
// connection.
type loadClients struct {
	addr       string
	lastID     atomic.Int64
	answered   atomic.Int64
	lost       atomic.Int64 // requests whose connection ended without an answer
	unexpected atomic.Int64 // refused connections, and answers other than a value
	stopped    chan struct{}
	running    sync.WaitGroup
}

// startLoad starts the clients. The caller must call stop.
func startLoad(addr string) *loadClients {
	c := &loadClients{addr: addr, stopped: make(chan struct{})}
	for range loadClientCount {
		c.running.Go(c.run)
	}
	return c
}

// stop ends all clients and waits for them.
func (c *loadClients) stop() {
	close(c.stopped)
	c.running.Wait()
}

// run runs one client, which uses one connection after the other.
func (c *loadClients) run() {
	for {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			c.unexpected.Add(1)
			return
		}
		stopped := c.useConnection(conn)
		conn.Close()
		if stopped {
			return
		}
	}
}

// useConnection sends requests until the connection ends or the clients are stopped; it returns true in the latter
// case.
func (c *loadClients) useConnection(conn net.Conn) (stopped bool) {
	const (
		requestInterval = 2 * time.Millisecond
		closeProbe      = 50 * time.Microsecond // read timeout of the check for a closed connection
		answerTimeout   = 5 * time.Second
	)
	in := bufio.NewReader(conn)
	for {
		select {
		case <-c.stopped:
			return true
		case <-time.After(requestInterval):
		}
		conn.SetReadDeadline(time.Now().Add(closeProbe))
		if _, err := in.Peek(1); errors.Is(err, io.EOF) {
			return false
		}
		conn.SetReadDeadline(time.Now().Add(answerTimeout))
		io.WriteString(conn, request(int(c.lastID.Add(1))))
		head, err := in.ReadString('\n')
		if err != nil {
			c.lost.Add(1)
			return false
		}
		if !strings.HasPrefix(head, "$") {
			c.unexpected.Add(1)
			continue
		}
		if _, err := in.ReadString('\n'); err != nil {
			c.lost.Add(1)
			return false
		}
		c.answered.Add(1)
	}
}

// awaitProgress waits until 200 more requests are answered.
func (c *loadClients) awaitProgress(t *testing.T) {
	t.Helper()
	const (
		progress = 200
		within   = 5 * time.Second
	)
	before := c.answered.Load()
	for end := time.Now().Add(within); c.answered.Load() < before+progress; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests were answered within %v, want %d", c.answered.Load()-before, within, progress)
		}
	}
}

// Three processes replace each other on an inherited socket under load: the first ends by SIGTERM, the second by
// SIGKILL with open requests. A backend that an operator suspended at the first process stays suspended at the others.
// While two processes overlap, they stay within the platform's smallest limits together. Few requests remain
// unanswered.
func TestProcessReplacementUnderLoad(t *testing.T) {
	r := newReplacementEnv(t)
	first := r.start(t)
	clients := startLoad(r.addr)
	stopClients := sync.OnceFunc(clients.stop)
	defer stopClients()
	clients.awaitProgress(t)
	if status := first.call("PUT", "/v1/backends/"+suspendedBackend+"/suspend"); status != http.StatusOK {
		t.Fatalf("suspend: got status %d, want %d", status, http.StatusOK)
	}
	time.Sleep(suspensionDelay)
	sendsBefore := r.sends[1].Load()

	second := r.start(t)
	first.signal(syscall.SIGTERM)
	checkUsageUntilEnd(t, first, second)
	if first.result != nil {
		t.Errorf("after SIGTERM the first process ended with %v", first.result)
	}
	clients.awaitProgress(t)
	if lost, unexpected := clients.lost.Load(), clients.unexpected.Load(); lost > maxLostAfterTerm || unexpected > 0 {
		t.Errorf("SIGTERM: got %d unanswered requests and %d unexpected answers, of %d, want %d and 0 at most",
			lost, unexpected, clients.answered.Load(), maxLostAfterTerm)
	}

	third := r.start(t)
	second.cmd.Process.Kill() // with open requests
	clients.awaitProgress(t)
	stopClients()
	if lost, unexpected := clients.lost.Load(), clients.unexpected.Load(); lost > maxLostAfterKill || unexpected > 0 {
		t.Errorf("SIGKILL: got %d unanswered requests and %d unexpected answers, want %d and 0 at most",
			lost, unexpected, maxLostAfterKill)
	}
	if sends := r.sends[1].Load() - sendsBefore; sends > 0 {
		t.Errorf("got %d sends to the suspended backend, want none", sends)
	}
	if status := third.call("PUT", "/v1/backends/"+suspendedBackend+"/resume"); status != http.StatusOK {
		t.Errorf("resume at the third process: got status %d, want %d", status, http.StatusOK)
	}
	t.Logf("%d answered, %d unanswered", clients.answered.Load(), clients.lost.Load())
}

// checkUsageUntilEnd checks that the usage of both processes together stays within the limits until the first has
// ended.
func checkUsageUntilEnd(t *testing.T, first, second *serverProcess) {
	t.Helper()
	for {
		descriptors1, memory1 := first.usage()
		descriptors2, memory2 := second.usage()
		if descriptors1+descriptors2 > maxDescriptors || memory1+memory2 > maxMemoryKiB {
			t.Errorf("two processes hold %d+%d descriptors and %d+%d KiB, want %d and %d at most",
				descriptors1, descriptors2, memory1, memory2, maxDescriptors, maxMemoryKiB)
		}
		select {
		case <-first.ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
