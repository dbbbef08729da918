package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/redis"
	"hitchspring/internal/testlog"
)

// awaitTimeout is the time limit of await.
const awaitTimeout = 20 * time.Second

// inProcessServer runs serve in the test's own process, with files that the test can change.
type inProcessServer struct {
	configPath  string
	optionsPath string
	log         testlog.Buffer
	ended       chan error // receives the result of serve
}

// newInProcessServer returns a server that is not started yet, with paths for its files. Until the test ends, a SIGHUP
// that the server does not handle has no effect, instead of ending the test process.
func newInProcessServer(t *testing.T) *inProcessServer {
	t.Helper()
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(sighups) })
	dir := t.TempDir()
	s := &inProcessServer{
		configPath:  filepath.Join(dir, "config.json"),
		optionsPath: filepath.Join(dir, "options.toml"),
		ended:       make(chan error, 1),
	}
	t.Setenv(configVariable, s.configPath)
	return s
}

// start calls serve in a goroutine. An empty path means no options file.
func (s *inProcessServer) start(optionsPath string) {
	go func() { s.ended <- serve(optionsPath, slog.New(slog.NewTextHandler(&s.log, nil))) }()
}

// sendSIGHUP makes the server reload its files.
func (s *inProcessServer) sendSIGHUP() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }

// requireShutdown shuts the server down with SIGTERM and fails the test if serve returns an error.
func (s *inProcessServer) requireShutdown(t *testing.T) {
	t.Helper()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	s.sendSIGHUP() // must not disturb the shutdown
	if err := <-s.ended; err != nil {
		t.Fatalf("the program ended with %v", err)
	}
}

// await waits until a condition holds, and fails the test after awaitTimeout.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout after %v waiting for %s", awaitTimeout, what)
		}
	}
}

// SIGHUP makes the server use the new discovery address in the configuration file. A SIGHUP with an invalid file does
// not prevent later reloads, and one during a shutdown does not disturb it.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	calls := make(chan int, 16) // index of the stand-in that was called
	var addrs [3]string
	empty := discovery.List{Rev: 1, Complete: true, Targets: []discovery.Target{}}
	for n := range addrs {
		addrs[n] = startDiscovery(t, empty, func(http.ResponseWriter, *http.Request) bool {
			calls <- n
			return true
		})
	}
	s := newInProcessServer(t)
	configure := func(addr string) {
		writeFile(t, s.configPath, fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"limits":{"cores":1,"sockets":256},"settings":{"replicasOfMe":1,
			"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`,
			addr))
	}
	awaitCall := func(want int) {
		for got := range calls {
			if got == want {
				return
			}
		}
	}
	configure(addrs[0])
	s.start("")
	awaitCall(0)
	configure(addrs[1])
	s.sendSIGHUP()
	awaitCall(1)
	configure("nowhere")
	s.sendSIGHUP()
	configure(addrs[2])
	s.sendSIGHUP()
	awaitCall(2)
	s.requireShutdown(t)
}

// SIGHUP moves the Redis store to a new address. The previous options stay in effect if the new ones are invalid or
// change a value that requires a restart.
func TestSIGHUPMovesRedisStore(t *testing.T) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"rev":1,"all":true,"targets":[]}`)
	}))
	defer agent.Close()
	first, second := startRedis(t), startRedis(t)
	listen := freeAddr(t)
	s := newInProcessServer(t)
	config := strings.Replace(validConfig, "127.0.0.1:1", strings.TrimPrefix(agent.URL, "http://"), 1)
	config = strings.Replace(config, "127.0.0.1:0", listen, 1)
	const plans = `"contracts":[{"name":"p","price":1,"refill":1000,"burst":100}]`
	config = strings.Replace(config, `"classes"`, plans+`,"classes"`, 1)
	writeFile(t, s.configPath, config)
	useStore := func(addr, more string) {
		writeFile(t, s.optionsPath, fmt.Sprintf("[store]\nkind = \"redis\"\naddress = %q\n%s", addr, more))
	}
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(s.log.String(), text) }
	}
	counts := func(server *redis.Server) func() bool {
		return func() bool {
			sendAndDisconnect(listen)
			return hasScriptCall(server)
		}
	}
	useStore(first.Addr(), "")
	s.start(s.optionsPath)
	await(t, "a script call at the first server", counts(first))
	useStore("nowhere", "")
	s.sendSIGHUP()
	await(t, "the log line about the invalid file", logged("options.toml:3: store.address"))
	useStore(second.Addr(), "prefix = \"other\"\n")
	s.sendSIGHUP()
	await(t, "the log line about the changed prefix", logged("only the address can change"))
	if second.Clients() > 0 {
		t.Fatal("the store moved although the prefix changed, want the reload rejected")
	}
	useStore(second.Addr(), "")
	s.sendSIGHUP()
	await(t, "a script call at the second server", counts(second))
	s.requireShutdown(t)
}

// startRedis starts a Redis stand-in.
func startRedis(t *testing.T) *redis.Server {
	t.Helper()
	server, err := redis.Start(redis.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

// hasScriptCall reports whether a server has received a script call, by which the store adds to its counters.
func hasScriptCall(server *redis.Server) bool {
	for _, record := range server.Records() {
		if strings.HasPrefix(record.Args[0], "EVAL") {
			return true
		}
	}
	return false
}

// lastRequestID is the ID of the last request that sendAndDisconnect sent.
var lastRequestID atomic.Int64

// sendAndDisconnect sends a request that costs 60 quota units, and disconnects after 20 ms even without an answer.
func sendAndDisconnect(addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, requestWith(int(lastRequestID.Add(1)), "c=a,t=p,d=900,units=60,spread=1,first=0"))
	conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	io.Copy(io.Discard, io.LimitReader(conn, 1))
}
