package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"
)

// What cannot be run is one clear error, and nothing is judged.
func TestBadArguments(t *testing.T) {
	for want, args := range map[string][]string{
		"usage":                    nil,
		`unknown command "dmeo"`:   {"dmeo"},
		"not defined: -nonsense":   {"demo", "--nonsense"},
		`unknown argument "x"`:     {"demo", "x"},
		`store: "x" is none`:       {"demo", "--store", "x"},
		"for: 1h0m0s":              {"soak", "--for", "1h"},
		"want TARGET:WHAT at TIME": {"demo", "--fault", "x"},
		"not a loopback address":   {"redis", "--listen", "0.0.0.0:6379"},
		"no-such-file":             {"redis", "--listen", "127.0.0.1:0", "--password-file", "no-such-file"},
	} {
		if code, err := run(context.Background(), args, io.Discard); code != failed || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %d, %v, want %q", args, code, err, want)
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
