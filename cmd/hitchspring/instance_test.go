package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

const (
	pingEvery   = 20 * time.Millisecond  // between two looks whether an instance is ready
	pingTimeout = 500 * time.Millisecond // for one answer to PING
)

// instance is one real ingress of a test: an address that stays the same over its restarts, and the process that runs now.
// It is used by one goroutine at a time.
type instance struct {
	program string
	listen  string
	config  string // path of its configuration file
	cmd     *exec.Cmd
	ended   chan struct{} // closed when cmd has been waited for
	err     error         // of cmd; read it after ended
	stderr  lockedBuffer
}

// lockedBuffer keeps what a process writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write is io.Writer's.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String is what was written so far.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// platform is what the platform tells an instance.
type platform struct {
	discovery string
	known     discovery.List
	instances int    // that share the settings
	mode      string // of discovery: "subscribe" asks for the list, "push" has an agent
	attempts  int    // at most, of one request; 0: one
}

// newInstance returns an instance that does not run yet. Its host is its own, so that no outgoing connection of another process takes its
// port between two starts.
func newInstance(t *testing.T, n int) *instance {
	t.Helper()
	free, err := net.Listen("tcp", fmt.Sprintf("127.94.%d.%d:0", 1+os.Getpid()%250, n+1))
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	i := &instance{program: programPath(t), listen: free.Addr().String(), config: filepath.Join(t.TempDir(), "config.json")}
	t.Cleanup(i.kill)
	return i
}

// configure writes the configuration of the next start, or of the next SIGHUP.
func (i *instance) configure(t *testing.T, me int, p platform) {
	t.Helper()
	known, err := json.Marshal(p.known)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"%x","known":%s,"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"me":%d,"replicasOfMe":%d,"registryMode":%q,
		"permissions":{"maxAttempts":%d,"retryAfter":true,"maxRetryAfterUs":500000,"mayCancel":true},
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}],
		"contracts":[{"name":"p","price":1}]}}`, i.listen, p.discovery, me+1, known, me, p.instances, p.mode, max(1, p.attempts))
	if err := os.WriteFile(i.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process and waits for nothing.
func (i *instance) start() error {
	i.cmd = exec.Command(i.program)
	i.cmd.Env = []string{"ROUTER_CONFIG=" + i.config}
	i.cmd.Stderr = &i.stderr
	if err := i.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := i.cmd, make(chan struct{})
	i.ended = ended
	go func() {
		i.err = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process by SIGKILL, and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	i.cmd.Process.Kill()
	<-i.ended
}

// awaitReady waits until the instance answers PING with +PONG; it fails where the process ends first, or ctx.
func (i *instance) awaitReady(ctx context.Context) error {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for !i.ping() {
		select {
		case <-i.ended:
			return fmt.Errorf("instance %s ended at its start: %v: %s", i.listen, i.err, &i.stderr)
		case <-ctx.Done():
			return fmt.Errorf("instance %s is not ready: %w", i.listen, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// ping says whether the instance answers PING with +PONG.
func (i *instance) ping() bool {
	nc, err := net.DialTimeout("tcp", i.listen, pingTimeout)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(pingTimeout))
	io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
	var answer [7]byte
	_, err = io.ReadFull(nc, answer[:])
	return err == nil && string(answer[:]) == "+PONG\r\n"
}

// request is a command of class a, with 900 ms for its answer.
func request(id int) string {
	const fields = "c=a,t=p,d=900,units=1,spread=1,first=0"
	return fmt.Sprintf("*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n", id, len(fields), fields)
}
