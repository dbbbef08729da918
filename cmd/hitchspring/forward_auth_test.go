package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const authConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"sockets":512},
	"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","state":"SERVING"}]},"settings":{
	"replicasOfMe":1,"contracts":[{"name":"p","price":1}],"permissions":{"maxAttempts":1,"retryAfter":true,"maxRetryAfterUs":500000},"familyInfo":{"maxUnits":6},
	"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`

// free is a port that nobody has just now.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The rules' table changes on SIGHUP, a bad file or another change of the section changes nothing, and figures are served.
func TestForwardAuthInService(t *testing.T) {
	ours := make(chan os.Signal, 1) // whatever the program does, the test goes on
	signal.Notify(ours, syscall.SIGHUP)
	defer signal.Stop(ours)
	dir := t.TempDir()
	config, options := filepath.Join(dir, "config.json"), filepath.Join(dir, "options.toml")
	at, figures := free(t), free(t)
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	head := fmt.Sprintf("[metrics]\nlisten = %q\n[forward_auth]\nlisten = %q\ntrusted = [\"127.0.0.1\"]\nconnections = 50\n", figures, at)
	rule := func(path string) string {
		return fmt.Sprintf("[[forward_auth.rule]]\npath = %q\nclass = \"a\"\nplan = \"p\"\n", path)
	}
	write(config, authConfig)
	write(options, head+rule("/one/{channel}"))
	t.Setenv("ROUTER_CONFIG", config)
	done := make(chan error, 1)
	go func() { done <- serve(options, slog.New(slog.DiscardHandler)) }()
	status := func(path string) int {
		req, err := http.NewRequest("GET", "http://"+at+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Forwarded-Method", "GET")
		req.Header.Set("X-Forwarded-Uri", path)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	await := func(path string, want func(int) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !want(status(path)); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d", path, status(path))
			}
		}
	}
	fits := func(s int) bool { return s == 200 || s == 429 || s == 503 }
	no := func(s int) bool { return s == 400 }
	await("/one/3e9", fits)
	await("/two/3e9", no)
	hangup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	write(options, head+rule("/two/{channel}"))
	hangup()
	await("/two/3e9", fits)
	await("/one/3e9", no)
	for _, bad := range []string{head + rule("/{nonsense}"), strings.Replace(head, "connections = 50", "connections = 60", 1) + rule("/three/{channel}"), head + "rules = 3"} {
		write(options, bad)
		hangup()
		time.Sleep(50 * time.Millisecond)
		await("/two/3e9", fits)
		await("/three/3e9", no)
	}
	resp, err := http.Get("http://" + figures + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 1<<16)
	for n, err := resp.Body.Read(buf); ; n, err = resp.Body.Read(buf) {
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	if !strings.Contains(b.String(), `hitchspring_forward_auth_calls_total{answer="unreadable"}`) || !strings.Contains(b.String(), "process_open_fds") {
		t.Fatal(b.String())
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// A rule that names no class or plan of the settings is one line that says which.
func TestForwardAuthCheck(t *testing.T) {
	dir := t.TempDir()
	config, options := filepath.Join(dir, "config.json"), filepath.Join(dir, "options.toml")
	t.Setenv("ROUTER_CONFIG", config)
	if err := os.WriteFile(config, []byte(authConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	for rule, want := range map[string]string{
		"path = \"/x\"\nclass = \"b\"":               `forward_auth.rule[0]: class "b"`,
		"path = \"/x\"\nclass = \"a\"\nplan = \"q\"": `forward_auth.rule[0]: plan "q"`,
		"path = \"x\"\nclass = \"a\"":                `forward_auth.rule[0]: path "x"`,
	} {
		text := "[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"127.0.0.1\"]\n[[forward_auth.rule]]\n" + rule + "\n"
		if err := os.WriteFile(options, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := runCommand([]string{"check", "--options", options}, &out, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", rule, err)
		}
	}
	var out strings.Builder
	if err := runCommand([]string{"version"}, &out, slog.New(slog.DiscardHandler)); err != nil || !strings.HasPrefix(out.String(), "hitchspring ") {
		t.Fatal(err, out.String())
	}
}
