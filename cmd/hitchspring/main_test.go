package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
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
	go func() { done <- run(slog.New(slog.DiscardHandler)) }()
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
		err := run(slog.New(slog.DiscardHandler))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("ROUTER_CONFIG", "")
	if err := run(slog.New(slog.DiscardHandler)); err == nil {
		t.Error("no configuration: no error")
	}
}
