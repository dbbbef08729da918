package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/audit"
)

// program builds the ingress once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lab-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hitchspring")
	out, err := exec.Command("go", "build", "-o", path, "hitchspring/cmd/hitchspring").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

func testConfig(t *testing.T) Config {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return Config{Ingress: path, Seed: 7, For: 5 * time.Second, Rate: 0.6, Hot: 8.4, Tolerance: time.Second}
}

// Three ingresses, one channel of storby at five times its quota through all of them, while the store goes through each
// of its troubles: by what the nodes saw the ceiling and the other rules hold.
func TestRulesUnderStoreFaults(t *testing.T) {
	faults := []string{
		"none", "stall 1500ms", "silent 1500ms", "stop 1500ms", "restart 300ms", "load 1500ms", "full 1500ms", "readonly 1500ms", "kick", "flush", "forget-scripts",
		"failover", "failover split", "hold 70ms for 2s on EVALSHA", "delay 90ms for 2s on EVALSHA", "drop-after for 2s on EVALSHA share 0.05", "drop-before for 2s on EVALSHA share 0.05",
		"ignore for 2s on EVALSHA share 0.05", "swallow for 2s on EVALSHA share 0.05", "repeat for 2s on EVALSHA share 0.05", "swap for 2s on EVALSHA share 0.05", "cut for 2s on EVALSHA share 0.05",
		"late 200ms for 2s on EVALSHA share 0.05", "fail for 2s on EVALSHA text OOM command not allowed when used memory > 'maxmemory'.",
	}
	for i, f := range faults {
		t.Run(f, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.Seed += uint64(i)
			cfg.Store = StoreRedis
			if strings.HasPrefix(f, "failover") {
				cfg.Store = StoreSentinel
				cfg.Faults = []string{"store:lag 500ms at 500ms"}
			}
			if f != "none" {
				cfg.Faults = append(cfg.Faults, "store:"+f+" at 1500ms")
			}
			r, err := Run(context.Background(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			if !r.Clean() {
				t.Errorf("seed %d: %s", cfg.Seed, r.Text())
			}
			if r.Rules[audit.Ceilings] > 0 || r.Tries < 300 {
				t.Errorf("seed %d: %d tries, %s", cfg.Seed, r.Tries, r.Text())
			}
		})
	}
}

// The same rules with the platform's own counter, and with troubles at the nodes, discovery and the ingresses.
func TestRulesElsewhere(t *testing.T) {
	for i, faults := range [][]string{
		{"store:stall 1s at 1s", "store:restart 200ms at 3s"},
		{"node/1:drain at 500ms", "node/2:slow 6 2s at 1s", "node/3:stop at 1s", "node/4:restart at 1s"},
		{"ingress/0:restart 300ms at 1s", "ingress/1:term at 2s", "discovery/2:mute 2s at 500ms"},
	} {
		t.Run(strings.Join(faults, " "), func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.Seed += 50 + uint64(i)
			cfg.Faults = faults
			r, err := Run(context.Background(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			if !r.Clean() || r.Tries < 300 {
				t.Errorf("seed %d: %s", cfg.Seed, r.Text())
			}
		})
	}
}

// What cannot be played is said before anything runs.
func TestBadConfig(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"for: ":                      func(c *Config) { c.For = time.Hour },
		"nodes: 2":                   func(c *Config) { c.Nodes = 2 },
		"ingresses: 9":               func(c *Config) { c.Ingresses = 9 },
		`store: "x" is none`:         func(c *Config) { c.Store = "x" },
		"rate: 5":                    func(c *Config) { c.Rate = 5 },
		"hot: -1":                    func(c *Config) { c.Hot = -1 },
		"want TARGET:WHAT at TIME":   func(c *Config) { c.Faults = []string{"store stall"} },
		`"soon" is no time`:          func(c *Config) { c.Faults = []string{"store:stall 2s at soon"} },
		`target "moon" is none`:      func(c *Config) { c.Faults = []string{"moon:stall 2s at 1s"} },
		"there are 12 of node":       func(c *Config) { c.Faults = []string{"node/12:drain at 1s"} },
		"unknown word \"wobble\"":    func(c *Config) { c.Store, c.Faults = StoreRedis, []string{"store:wobble at 0s"} },
		"want kill, term or restart": func(c *Config) { c.Faults = []string{"ingress/0:tickle at 0s"} },
	} {
		cfg := testConfig(t)
		cfg.For = time.Second
		change(&cfg)
		if _, err := Run(context.Background(), cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
