package peers

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lines is a log that tests read.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write is io.Writer's.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

func keyFile(t *testing.T, keys ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(strings.Join(keys, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// free are loopback addresses that nobody listens on.
func freeAddrs(t *testing.T, n int) (out []string) {
	t.Helper()
	for range n {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		out = append(out, c.LocalAddr().String())
	}
	return out
}

func config(name, listen string, key string, seeds ...string) Config {
	began := time.Now()
	return Config{Name: name, Listen: listen, KeyFile: key, Seeds: seeds, Incarnation: uint64(began.UnixNano()), Clock: func() time.Duration { return time.Since(began) + time.Hour }}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// Over real sockets: instances find one another, tell one another, leave; one with another key finds nobody, and both sides have
// one line on it; garbage does nothing.
func TestOverSockets(t *testing.T) {
	at := freeAddrs(t, 4)
	key := keyFile(t, "the key that all of them have")
	var log logBuffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	var all []*Peers
	for i := range 3 {
		p, err := Start(config(fmt.Sprint("n", i), at[i], key, at[0], at[1]), logger)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		all = append(all, p)
	}
	strange, err := Start(config("n3", at[3], keyFile(t, "some other key, as long"), at[0]), logger)
	if err != nil {
		t.Fatal(err)
	}
	defer strange.Close()
	eventually(t, "they find one another", func() bool {
		return all[0].Status().Alive == 2 && all[1].Status().Alive == 2 && all[2].Status().Alive == 2
	})
	all[2].Publish("node", "x", time.Hour, []byte("slow"))
	eventually(t, "the fact is at all", func() bool {
		a, halls := all[0].Facts("node")
		b, _ := all[1].Facts("node")
		return len(a) == 1 && len(b) == 1 && string(a[0].Data) == "slow" && a[0].Owner == "n2" && halls["n2"] == ""
	})
	if v := all[0].Version(); v == 0 {
		t.Fatal(v)
	}
	to, err := net.Dial("udp4", at[0])
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	for i := range 200 {
		to.Write(bytes.Repeat([]byte{byte(i)}, 1+i))
	}
	eventually(t, "garbage is counted", func() bool { return all[0].Status().Counts.WrongKey >= 200 })
	if strange.Status().Alive != 0 || log.count("no key opens it") == 0 || log.count("messages are left aside") > 8 {
		t.Fatal(strange.Status().Alive, log.count("messages are left aside"))
	}
	all[2].Close()
	eventually(t, "it has left", func() bool {
		s := all[0].Status()
		for _, m := range s.Members {
			if m.Name == "n2" {
				return m.State == "left"
			}
		}
		return false
	})
}

// An instance that waits for another process of its own to go takes part when that has gone; another one's address is an error.
func TestAddressTaken(t *testing.T) {
	at := freeAddrs(t, 2)
	key := keyFile(t, "the key that all of them have")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	first, err := Start(config("n0", at[0], key, at[1]), log)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Start(config("n0", at[0], key, at[1]), log); err == nil || !strings.Contains(err.Error(), "peers.listen \""+at[0]) {
		t.Fatal(err)
	}
	other, err := Start(config("n1", at[1], key, at[0]), log)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	cfg := config("n0", at[0], key, at[1])
	cfg.WaitForAddress = true
	next, err := Start(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	eventually(t, "the first is there", func() bool { return other.Status().Alive == 1 })
	first.Close()
	eventually(t, "the next is there", func() bool {
		for _, m := range other.Status().Members {
			if m.Name == "n0" && m.State == "alive" && m.Incarnation == next.Status().Incarnation {
				return true
			}
		}
		return false
	})
}

// What can't be right is one line that names field and value.
func TestBadConfig(t *testing.T) {
	key := keyFile(t, "the key that all of them have")
	at := freeAddrs(t, 1)[0]
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for want, change := range map[string]func(*Config){
		"peers.key_file":       func(c *Config) { c.KeyFile = keyFile(t, "short") },
		"peers.seeds: there":   func(c *Config) { c.Seeds = nil },
		"is this instance":     func(c *Config) { c.Seeds = []string{at} },
		"peers.seeds_file":     func(c *Config) { c.SeedsFile = c.KeyFile },
		"peers.listen \"192.0": func(c *Config) { c.Listen = "192.0.2.1:7946" },
	} {
		cfg := config("n0", at, key, "127.0.0.1:1")
		change(&cfg)
		p, err := Start(cfg, log)
		if err == nil {
			p.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Keys and seeds are read again when their files change; files that say nothing usable change nothing.
func TestFilesReread(t *testing.T) {
	at := freeAddrs(t, 2)
	old, next := "the key that is there now", "the key that comes next"
	keys := []string{keyFile(t, old), keyFile(t, next)}
	seeds := keyFile(t, "127.0.0.1:1")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg := config("n0", at[0], keys[0])
	cfg.SeedsFile = seeds
	a, err := Start(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Start(config("n1", at[1], keys[1], "127.0.0.1:1"), log)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	os.WriteFile(seeds, []byte("nonsense"), 0o600)
	os.WriteFile(keys[0], []byte("short"), 0o600)
	time.Sleep(1500 * time.Millisecond) // they are looked at once a second
	os.WriteFile(keys[0], []byte(next+"\n"+old), 0o600)
	os.WriteFile(seeds, []byte(at[1]), 0o600)
	eventually(t, "they find one another", func() bool { return a.Status().Alive == 1 && b.Status().Alive == 1 })
}

// Two end at one moment, without a word: the host of one turns back what comes for it, that of the other is silent. The first is known to be gone
// while the other is still waited for, and nobody else is.
func TestTurnedBack(t *testing.T) {
	at := freeAddrs(t, 6)
	key := keyFile(t, "the key that all of them have")
	var all []*Peers
	for i := range 6 {
		p, err := Start(config(fmt.Sprint("n", i), at[i], key, at[0], at[1]), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		all = append(all, p)
	}
	eventually(t, "they find one another", func() bool {
		for _, p := range all {
			if p.Status().Alive != 5 {
				return false
			}
		}
		return true
	})
	all[4].conn.Close()
	all[5].conn.Close()
	silent, err := net.ListenPacket("udp4", at[5])
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	dead := func(p *Peers, name string) bool {
		for _, m := range p.Status().Members {
			if m.Name == name {
				return m.State == "dead"
			}
		}
		return false
	}
	first, refusals := 0, 0
	for _, p := range all[:4] {
		eventually(t, "who turns back is held to be dead", func() bool { return dead(p, "n4") || dead(p, "n5") })
		if dead(p, "n4") {
			first++
		}
		refusals += p.Status().Swim.Refusals
	}
	if first < 4 || refusals < minRefusals {
		t.Errorf("%d of 4 held who turned back to be dead before who is silent; %d were turned back", first, refusals)
	}
	for _, p := range all[:4] {
		if a := p.Status().Alive; a < 3 {
			t.Errorf("%d of 3 others are there", a)
		}
	}
}

const minRefusals = 2 // members that have to be turned back
