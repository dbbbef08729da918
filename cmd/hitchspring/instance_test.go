package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

const (
	pingInterval   = 20 * time.Millisecond  // interval of readiness checks and of retries
	pingTimeout    = 500 * time.Millisecond // limit for connecting, and for one answer to PING
	requestTimeout = 2 * time.Second        // limit for the answer to one request
)

// instance is an instance that runs as a separate process. Its address stays the same across restarts. It must be used
// by one goroutine at a time.
type instance struct {
	program    string
	listen     string
	configPath string
	process    *process // latest process; nil before the first start
}

// platformConfig holds the values of the configuration file that differ between tests.
type platformConfig struct {
	discovery     string         // host:port
	known         discovery.List // initial endpoint list
	instances     int            // number of instances of the ingress
	discoveryMode string         // "subscribe": poll for the endpoint list; "push": an agent sends it
	maxAttempts   int            // max attempts of a request; 0 means 1
	memoryMB      int            // memory limit; 0 means 64
	sockets       int            // limit on file descriptors; 0 means 256
}

// healthyPlatformConfig returns the configuration of a single instance with healthy discovery and three attempts per
// request.
func healthyPlatformConfig(t *testing.T, list discovery.List) platformConfig {
	t.Helper()
	return platformConfig{
		discovery:     startDiscovery(t, list, healthy),
		known:         list,
		instances:     1,
		discoveryMode: "push",
		maxAttempts:   3,
	}
}

// newInstance returns an instance that does not run yet. It has its own loopback IP address, so that no outgoing
// connection of another process can take its port between two starts.
func newInstance(t *testing.T, index int) *instance {
	t.Helper()
	i := &instance{
		program:    programPath(t),
		listen:     freeAddrOn(t, fmt.Sprintf("127.94.%d.%d", 1+os.Getpid()%250, index+1)),
		configPath: filepath.Join(t.TempDir(), "config.json"),
	}
	t.Cleanup(i.kill)
	return i
}

// startInstance configures and starts an instance, and waits until it is ready.
func startInstance(t *testing.T, p platformConfig) *instance {
	t.Helper()
	i := newInstance(t, 0)
	i.configure(t, 0, p)
	i.startReady(t)
	return i
}

// configure writes the configuration file, which the next start or SIGHUP reads.
func (i *instance) configure(t *testing.T, index int, p platformConfig) {
	t.Helper()
	known, err := json.Marshal(p.known)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, i.configPath, fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"%x","known":%s,
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"settings":{"me":%d,"replicasOfMe":%d,"registryMode":%q,
		"permissions":{"maxAttempts":%d,"retryAfter":true,"maxRetryAfterUs":500000,"mayCancel":true},
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}],
		"contracts":[{"name":"p","price":1},{"name":"refused","price":0.01,"refill":0.01,"burst":0.5}]}}`,
		i.listen, p.discovery, index+1, known, cmp.Or(p.memoryMB, 64), cmp.Or(p.sockets, 256), index, p.instances,
		p.discoveryMode, max(1, p.maxAttempts)))
}

// start starts a process and does not wait until it is ready.
func (i *instance) start() (err error) {
	i.process, err = startProcess(i.program, []string{"ROUTER_CONFIG=" + i.configPath})
	return err
}

// startReady starts a process and waits until it is ready.
func (i *instance) startReady(t *testing.T) {
	t.Helper()
	if err := i.start(); err != nil {
		t.Fatal(err)
	}
	if err := i.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// kill sends SIGKILL to the process and waits until it has ended.
func (i *instance) kill() {
	if i.process != nil {
		i.process.kill()
	}
}

// awaitReady waits until the instance answers PING. It returns an error if the process or ctx ends first.
func (i *instance) awaitReady(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for !i.ping() {
		select {
		case <-i.process.ended:
			state := i.process.cmd.ProcessState
			return fmt.Errorf("instance %s ended at its start: %s: %s", i.listen, state, &i.process.log)
		case <-ctx.Done():
			return fmt.Errorf("instance %s is not ready: %w", i.listen, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// ping reports whether the instance answers PING with +PONG.
func (i *instance) ping() bool {
	conn, err := net.DialTimeout("tcp", i.listen, pingTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(pingTimeout))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	var answer [7]byte
	_, err = io.ReadFull(conn, answer[:])
	return err == nil && string(answer[:]) == "+PONG\r\n"
}

// send sends one request on a new connection and returns the first line of its answer.
func (i *instance) send(id int) (answer string, err error) {
	conn, err := net.DialTimeout("tcp", i.listen, pingTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(conn, request(id)); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}
