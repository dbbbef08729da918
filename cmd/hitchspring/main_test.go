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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/config"
	standin "hitchspring/internal/standin/redis"
)

// SIGHUP once ended the process. It moves discovery to the address that the file names now; a bad file changes
// nothing, nor does one in the middle of a shutdown.
func TestHangup(t *testing.T) {
	ours := make(chan os.Signal, 1) // whatever the program does, the test goes on
	signal.Notify(ours, syscall.SIGHUP)
	defer signal.Stop(ours)
	asked := make(chan int, 16)
	var discovery [3]string
	for i := range discovery {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- i
			io.WriteString(w, `{"rev":1,"all":true,"targets":[]}`)
		}))
		defer s.Close()
		discovery[i] = strings.TrimPrefix(s.URL, "http://")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	write := func(addr string) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"sockets":256},"settings":{
			"replicasOfMe":1,"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`, addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hangup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	await := func(want int) {
		for got := range asked {
			if got == want {
				return
			}
		}
	}
	write(discovery[0])
	done := make(chan error, 1)
	go func() { done <- serve("", slog.New(slog.DiscardHandler)) }()
	await(0)
	write(discovery[1])
	hangup()
	await(1)
	write("nowhere")
	hangup()
	write(discovery[2])
	hangup()
	await(2)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	hangup()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A bad configuration is one plain line that names what is wrong.
func TestBadConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		"":   "unexpected end",
		"{}": "listen, discovery and settings are wanted",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"zz","settings":{}}`:                                                             "seed",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":[]}`:                                                              "settings",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{},"limits":{"sockets":3}}`:                                       "sockets are too few",
		`{"listen":"127.0.0.1:0","discovery":"nowhere","seed":"1","settings":{},"limits":{"sockets":1024}}`:                                        "not an address",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{},"limits":{"sockets":1024}}`:                                    "gateway 0 of 0",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"familyInfo":{"sharedCounter":true}},"limits":{"sockets":1024}}`: "no address of it",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("ROUTER_CONFIG", path)
		err := serve("", slog.New(slog.DiscardHandler))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("ROUTER_CONFIG", "")
	if err := serve("", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("no configuration: no error")
	}
}

const goodConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"sockets":256},"settings":{
	"replicasOfMe":1,"familyInfo":{"sharedCounter":true,"counterTimeoutUs":80000},
	"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`

// check says what is wrong and starts nothing, or prints the settings in force; the file may come from the environment.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	quiet := slog.New(slog.DiscardHandler)
	good := file("good.toml", "[store]\nkind = \"redis\"\naddress = \"127.0.0.1:6379\"\n")
	bad := file("bad.toml", "[store]\nkind = \"redis\"\n")
	t.Setenv("ROUTER_CONFIG", file("config.json", goodConfig))
	var out strings.Builder
	if err := runCommand([]string{"check", "--options", good}, &out, quiet); err != nil || !strings.Contains(out.String(), `prefix = 'hitchspring'`) {
		t.Fatal(err, out.String())
	}
	if err := runCommand([]string{"check", "--options", bad}, io.Discard, quiet); err == nil || !strings.Contains(err.Error(), bad+":1: store.address") {
		t.Fatal(err)
	}
	if err := runCommand([]string{"check"}, io.Discard, quiet); err == nil || !strings.Contains(err.Error(), "no address of it") {
		t.Fatal(err) // without the options the counter has no address
	}
	t.Setenv("HITCHSPRING_OPTIONS", bad)
	for _, args := range [][]string{nil, {"check"}} {
		if err := runCommand(args, io.Discard, quiet); err == nil || !strings.Contains(err.Error(), "store.address") {
			t.Fatal(args, err)
		}
	}
	for _, args := range [][]string{{"chekc"}, {"--nonsense"}, {"check", "more"}} {
		if err := runCommand(args, io.Discard, quiet); err == nil || strings.Contains(err.Error(), "\n") {
			t.Fatal(args, err)
		}
	}
}

// The ingress starts with a store on Redis, moves it on SIGHUP, and keeps the old options where the new ones are bad or
// change what cannot change in service.
func TestRedisMoves(t *testing.T) {
	ours := make(chan os.Signal, 1)
	signal.Notify(ours, syscall.SIGHUP)
	defer signal.Stop(ours)
	dir := t.TempDir()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":1,"all":true,"targets":[]}`)
	}))
	defer agent.Close()
	var servers [2]*standin.Server
	for i := range servers {
		s, err := standin.Start(standin.Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		servers[i] = s
	}
	port := freePort(t)
	config := strings.Replace(goodConfig, "127.0.0.1:1", strings.TrimPrefix(agent.URL, "http://"), 1)
	config = strings.Replace(config, "127.0.0.1:0", port, 1)
	config = strings.Replace(config, `"classes"`, `"contracts":[{"name":"p","price":1,"refill":1000,"burst":100}],"classes"`, 1)
	path, options := filepath.Join(dir, "config.json"), filepath.Join(dir, "options.toml")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store := func(s *standin.Server, more string) {
		write(options, fmt.Sprintf("[store]\nkind = \"redis\"\naddress = %q\n%s", s.Addr(), more))
	}
	write(path, config)
	t.Setenv("ROUTER_CONFIG", path)
	store(servers[0], "")
	var log strings.Builder
	var mu sync.Mutex
	done := make(chan error, 1)
	go func() { done <- serve(options, slog.New(slog.NewTextHandler(locked{&mu, &log}, nil))) }()
	logged := func(text string) bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(log.String(), text)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("in vain: ", what)
			}
		}
	}
	adds := func(s *standin.Server) func() bool {
		return func() bool {
			ask(port)
			for _, r := range s.Records() {
				if strings.HasPrefix(r.Args[0], "EVAL") {
					return true
				}
			}
			return false
		}
	}
	until("adds at the first", adds(servers[0]))
	write(options, "[store]\nkind = \"redis\"\naddress = \"nowhere\"\n")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	until("the bad file's line", func() bool { return logged("options.toml:3: store.address") })
	store(servers[1], "prefix = \"other\"\n")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	until("the refusal of another prefix", func() bool { return logged("only the address can change") })
	if servers[1].Clients() > 0 {
		t.Fatal("it has moved")
	}
	store(servers[1], "")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	until("adds at the second", adds(servers[1]))
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

type locked struct {
	mu *sync.Mutex
	b  *strings.Builder
}

func (l locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func freePort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

var asked atomic.Int64

// ask sends a request that takes units, and waits for nothing.
func ask(addr string) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer nc.Close()
	fields := "c=a,t=p,d=900,units=60,spread=1,first=0"
	fmt.Fprintf(nc, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n", asked.Add(1), len(fields), fields)
	nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	nc.Read(make([]byte, 64))
}

// What the options file says of the log reaches the ingress.
func TestLogOptions(t *testing.T) {
	dir := t.TempDir()
	path, options := filepath.Join(dir, "config.json"), filepath.Join(dir, "options.toml")
	for name, text := range map[string]string{
		path: `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":256},"settings":{"replicasOfMe":1,
			"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000}]}}`,
		options: "[log]\nsummary = \"2s\"\n",
	} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	o, err := config.Load(options)
	if err != nil {
		t.Fatal(err)
	}
	c, err := loadConfiguration(path, o, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if c.ingress.Summary != 2*time.Second {
		t.Errorf("a line each %v, want 2s", c.ingress.Summary)
	}
}
