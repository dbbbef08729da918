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

// Invalid arguments are reported as an error that names the argument, with the exit status for runs that could not be
// checked.
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
		t.Run(want, func(t *testing.T) {
			code, err := run(t.Context(), args, io.Discard)
			if code != failed {
				t.Errorf("%q: got exit status %d, want %d", args, code, failed)
			}
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got error %v, want one with %q", args, err, want)
			}
		})
	}
}

// Help texts, the lists of scenarios and defects, the version and the shell completion are printed with exit status 0.
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
		t.Run(want, func(t *testing.T) {
			var out bytes.Buffer
			code, err := run(t.Context(), args, &out)
			if code != lab.Clean || err != nil {
				t.Errorf("%q: got exit status %d and error %v, want %d and none", args, code, err, lab.Clean)
			}
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q: got\n%s\nwant it with %q", args, out.String(), want)
			}
		})
	}
}

// lineWriter is an io.Writer that sends each write to the channel.
type lineWriter chan string

// Write implements io.Writer.
func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(b)
	return len(b), nil
}

// The redis command runs the Redis stand-in, which serves a regular client with the password from a file and ends when
// its context is cancelled.
func TestRedisStandIn(t *testing.T) {
	const startTimeout = 20 * time.Second
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("pw\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := make(lineWriter, 10)
	done := make(chan error, 1)
	go func() {
		args := []string{"redis", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0", "--password-file", secret}
		_, err := run(ctx, args, out)
		done <- err
	}()
	var addr string
	select {
	case line := <-out:
		addr = strings.TrimSpace(line[strings.LastIndexByte(line, ' '):])
	case err := <-done:
		t.Fatalf("the stand-in ended before it listened: %v", err)
	case <-time.After(startTimeout):
		t.Fatalf("the stand-in did not start within %v", startTimeout)
	}
	client := goredis.NewClient(&goredis.Options{Addr: addr, Password: "pw"})
	defer client.Close()
	if got, err := client.Incr(ctx, "n").Result(); got != 1 || err != nil {
		t.Fatalf("INCR of a new key: got %d, %v, want 1", got, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatalf("the stand-in ended with %v", err)
	}
}

// A lab process that is killed during a run leaves no instance processes behind.
func TestKilledLabLeavesNoProcess(t *testing.T) {
	const instances = 3
	dir := t.TempDir()
	program := filepath.Join(dir, "ingress-of-a-killed-lab")
	labProgram := filepath.Join(dir, "lab")
	for path, pkg := range map[string]string{labProgram: ".", program: "hitchspring/cmd/hitchspring"} {
		if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
			t.Fatalf("go build %s: %v: %s", pkg, err, out)
		}
	}
	cmd := exec.Command(labProgram, "demo", "--quiet", "--day", "calm", "--rate", "0.3", "--ingress", program)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	awaitProcesses(t, program, instances)
	cmd.Process.Kill()
	if err := cmd.Wait(); err == nil {
		t.Error("the lab exited without an error, want it killed")
	}
	awaitProcesses(t, program, 0)
}

// awaitProcesses waits until the number of running processes of a program is as wanted.
func awaitProcesses(t *testing.T, program string, want int) {
	t.Helper()
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		got := countProcesses(t, program)
		if got == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d processes of %s after %v, want %d", got, program, timeout, want)
		}
	}
}

// countProcesses returns the number of running processes of a program.
func countProcesses(t *testing.T, program string) (count int) {
	t.Helper()
	commandLines, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range commandLines {
		if text, err := os.ReadFile(path); err == nil && bytes.HasPrefix(text, []byte(program)) {
			count++
		}
	}
	return count
}
