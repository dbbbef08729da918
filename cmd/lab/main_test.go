package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"

	"hitchspring/internal/lab"
)

// What cannot be run is one clear error, and nothing is judged.
func TestBadArguments(t *testing.T) {
	for want, args := range map[string][]string{
		"no command":                       nil,
		`unexpected argument dmeo`:         {"dmeo"},
		`unknown flag --sed, did you mean`: {"demo", "--sed", "3"},
		`unexpected argument x`:            {"demo", "x"},
		`--store must be one of`:           {"demo", "--store", "x"},
		"length: 1h0m0s is out of range":   {"soak", "--for", "1h"},
		"rate: -1 is out of range":         {"demo", "--rate=-1"},
		`day "calmer"`:                     {"demo", "--day", "calmer"},
		"want TARGET:WHAT at TIME":         {"demo", "--fault", "x"},
		"not a loopback address":           {"redis", "--listen", "0.0.0.0:6379"},
		"no-such-file":                     {"redis", "--listen", "127.0.0.1:0", "--password-file", "no-such-file"},
		"no defect is called nonsense":     {"prove", "nonsense"},
		"experiment: open":                 {"experiment", "no-such-file"},
		"rate: 0 is out of range":          {"cost", "--rate", "0"},
		`build "=x": want NAME=PATH`:       {"cost", "--build", "=x"},
		"seconds: -1s is out of range":     {"cost", "--seconds=-1"},
		"second-share: 2 is no share":      {"cost", "--second-answers", "5ms", "--second-share", "2"},
		"program /no/such/program":         {"cost", "--short", "--build", "x=/no/such/program"},
	} {
		if code, err := run(context.Background(), args, io.Discard); code != failed || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %d, %v, want %q", args, code, err, want)
		}
	}
}

// Help names each flag with its default; days, defects, version and completion print what they are asked for.
func TestPrints(t *testing.T) {
	for want, args := range map[string][]string{
		"--seed=1":       {"demo", "--help"},
		"Exit codes: 0":  {"--help"},
		"evening":        {"days"},
		"[must]":         {"days", "evening"},
		"cold-no-care":   {"prove", "--list"},
		"lab ":           {"version"},
		"--second-share": {"cost", "--help"},
		" -C ":           {"completion", "-c", "bash"},
	} {
		var b bytes.Buffer
		if code, err := run(context.Background(), args, &b); code != lab.Clean || err != nil || !strings.Contains(b.String(), want) {
			t.Errorf("%v: %d, %v, %q", args, code, err, b.String())
		}
	}
}

// lines passes on what is written, a line at a time.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// The stand-in on its own is there for any client, with a password from a file, and ends with its context.
func TestRedisAlone(t *testing.T) {
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("pw\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	out := make(lines, 10)
	done := make(chan error, 1)
	go func() {
		_, err := run(ctx, []string{"redis", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0", "--password-file", secret}, out)
		done <- err
	}()
	var addr string
	select {
	case line := <-out:
		addr = strings.TrimSpace(line[strings.LastIndexByte(line, ' '):])
	case err := <-done:
		t.Fatal(err)
	case <-time.After(20 * time.Second):
		t.Fatal("it does not start")
	}
	c := goredis.NewClient(&goredis.Options{Addr: addr, Password: "pw"})
	defer c.Close()
	if v, err := c.Incr(ctx, "n").Result(); v != 1 || err != nil {
		t.Fatal(v, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The lab killed in the middle leaves no process behind.
func TestKilled(t *testing.T) {
	dir := t.TempDir()
	for name, pkg := range map[string]string{"lab": ".", "ingress-of-a-killed-lab": "hitchspring/cmd/hitchspring"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), pkg).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	ingress := filepath.Join(dir, "ingress-of-a-killed-lab")
	cmd := exec.Command(filepath.Join(dir, "lab"), "demo", "--quiet", "--day", "calm", "--rate", "0.3", "--ingress", ingress)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	running := func() (n int) {
		all, err := filepath.Glob("/proc/[0-9]*/cmdline")
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range all {
			if text, err := os.ReadFile(p); err == nil && bytes.HasPrefix(text, []byte(ingress)) {
				n++
			}
		}
		return n
	}
	wait := func(want int) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); running() != want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d ingresses run, want %d", running(), want)
			}
		}
	}
	wait(3)
	cmd.Process.Kill()
	cmd.Wait()
	wait(0)
}
