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

// awaitTimeout bounds a wait for what a reload changes.
const awaitTimeout = 20 * time.Second

// inProcessServer is the program serving within the test's own process, on files that the test changes.
type inProcessServer struct {
	configPath  string
	optionsPath string
	log         testlog.Buffer
	ended       chan error // receives the result once
}

// newInProcessServer returns a program that doesn't serve yet, with paths for its files. Until the test ends, a SIGHUP that the
// program doesn't handle has no effect.
func newInProcessServer(t *testing.T) *inProcessServer {
	t.Helper()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	dir := t.TempDir()
	s := &inProcessServer{
		configPath:  filepath.Join(dir, "config.json"),
		optionsPath: filepath.Join(dir, "options.toml"),
		ended:       make(chan error, 1),
	}
	t.Setenv(configVariable, s.configPath)
	return s
}

// start serves; without a path there are no options.
func (s *inProcessServer) start(optionsPath string) {
	go func() { s.ended <- serve(optionsPath, slog.New(slog.NewTextHandler(&s.log, nil))) }()
}

// sendSIGHUP asks the program to read its files again.
func (s *inProcessServer) sendSIGHUP() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }

// requireShutdown shuts the program down and fails the test if it ends with an error.
func (s *inProcessServer) requireShutdown(t *testing.T) {
	t.Helper()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	s.sendSIGHUP() // in the middle of a shutdown it does no harm
	if err := <-s.ended; err != nil {
		t.Fatalf("the program ended with %v", err)
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v in vain for %s", awaitTimeout, what)
		}
	}
}

// SIGHUP moves discovery to the address that the file names now and doesn't end the process; a bad file changes
// nothing, and a SIGHUP in the middle of a shutdown does no harm.
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

// The instance starts with a store on Redis, moves it on SIGHUP, and keeps the old options where the new ones are bad
// or change what can't change in service.
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
	await(t, "a count at the first server", counts(first))
	useStore("nowhere", "")
	s.sendSIGHUP()
	await(t, "the log line of the bad file", logged("options.toml:3: store.address"))
	useStore(second.Addr(), "prefix = \"other\"\n")
	s.sendSIGHUP()
	await(t, "the log line of another prefix", logged("only the address can change"))
	if second.Clients() > 0 {
		t.Fatal("the store has moved with another prefix")
	}
	useStore(second.Addr(), "")
	s.sendSIGHUP()
	await(t, "a count at the second server", counts(second))
	s.requireShutdown(t)
}

// startRedis starts a stand-in of Redis.
func startRedis(t *testing.T) *redis.Server {
	t.Helper()
	server, err := redis.Start(redis.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

// hasScriptCall reports whether a server has run the script that counts.
func hasScriptCall(server *redis.Server) bool {
	for _, record := range server.Records() {
		if strings.HasPrefix(record.Args[0], "EVAL") {
			return true
		}
	}
	return false
}

// lastRequestID is that of sendAndDisconnect's latest request.
var lastRequestID atomic.Int64

// sendAndDisconnect sends a request that costs 60 units, and leaves without waiting for its answer.
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
