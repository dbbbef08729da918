package peers

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/testlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// logBuffer is a log buffer that counts occurrences of a text.
type logBuffer struct{ testlog.Buffer }

func (l *logBuffer) count(text string) int { return strings.Count(l.String(), text) }

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func keyFile(t *testing.T, keys ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key")
	writeFile(t, file, strings.Join(keys, "\n"))
	return file
}

// freeAddrs returns loopback addresses whose ports are free.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		addrs = append(addrs, conn.LocalAddr().String())
	}
	return addrs
}

func testConfig(name, listen, keyFile string, seeds ...string) Config {
	began := time.Now()
	return Config{
		Name:        name,
		Listen:      listen,
		KeyFile:     keyFile,
		Seeds:       seeds,
		Incarnation: uint64(began.UnixNano()),
		Clock:       func() time.Duration { return time.Since(began) + time.Hour },
	}
}

// startPeers starts an instance that is closed at the end of the test.
func startPeers(t *testing.T, cfg Config, log *slog.Logger) *Peers {
	t.Helper()
	p, err := Start(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached within 10s: ", what)
		}
	}
}

// memberState returns the state of a member in the view of an instance, or "" if
// the member is unknown.
func memberState(p *Peers, name string) string {
	for _, m := range p.Status().Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// allAlive reports whether each instance sees the given number of others.
func allAlive(all []*Peers, others int) bool {
	for _, p := range all {
		if p.Status().Alive != others {
			return false
		}
	}
	return true
}

// Instances with real sockets join one group, exchange facts and leave. An instance
// with a different key joins nobody; both sides log rejected datagrams at a
// limited rate. Garbage datagrams have no effect.
func TestOverSockets(t *testing.T) {
	addrs := freeAddrs(t, 4)
	key := keyFile(t, "the key that all of them have")
	var log logBuffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	var all []*Peers
	for i := range 3 {
		all = append(all, startPeers(t, testConfig(fmt.Sprint("n", i), addrs[i], key, addrs[0], addrs[1]), logger))
	}
	outsider := startPeers(t, testConfig("n3", addrs[3], keyFile(t, "some other key, as long"), addrs[0]), logger)
	eventually(t, "the instances find one another", func() bool { return allAlive(all, 2) })
	all[2].Publish("node", "x", time.Hour, []byte("slow"))
	eventually(t, "the fact reaches all instances", func() bool {
		a, zones := all[0].Facts("node")
		b, _ := all[1].Facts("node")
		return len(a) == 1 && len(b) == 1 && string(a[0].Data) == "slow" && a[0].Owner == "n2" && zones["n2"] == ""
	})
	if all[0].Version() == 0 {
		t.Fatal("got version 0 of a store with a fact, want a higher one")
	}
	conn, err := net.Dial("udp4", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i := range 200 {
		conn.Write(bytes.Repeat([]byte{byte(i)}, 1+i))
	}
	eventually(t, "garbage is counted", func() bool { return all[0].Status().Counts.WrongKey >= 200 })
	rejected := log.count("datagram rejected")
	if outsider.Status().Alive != 0 || log.count("no configured key decrypts the datagram") == 0 || rejected > 8 {
		t.Fatalf("got %d members with another key and %d log lines", outsider.Status().Alive, rejected)
	}
	all[2].Close()
	eventually(t, "n2 has left", func() bool { return memberState(all[0], "n2") == "left" })
}

// With WaitForAddress, a process joins once the previous process of the instance
// has ended. Without it, an address that is in use is an error.
func TestAddressInUse(t *testing.T) {
	addrs := freeAddrs(t, 2)
	key := keyFile(t, "the key that all of them have")
	log := slog.New(slog.DiscardHandler)
	cfg := testConfig("n0", addrs[0], key, addrs[1])
	first, err := Start(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	want := "peers.listen \"" + addrs[0]
	if _, err := Start(cfg, log); err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %v, want %q", err, want)
	}
	other := startPeers(t, testConfig("n1", addrs[1], key, addrs[0]), log)
	waiting := testConfig("n0", addrs[0], key, addrs[1])
	waiting.WaitForAddress = true
	next := startPeers(t, waiting, log)
	eventually(t, "the first process joins", func() bool { return other.Status().Alive == 1 })
	first.Close()
	eventually(t, "the next process joins", func() bool {
		for _, m := range other.Status().Members {
			if m.Name == "n0" && m.State == "alive" && m.Incarnation == next.Status().Incarnation {
				return true
			}
		}
		return false
	})
}

// An invalid configuration results in a one-line error that names the setting.
func TestInvalidConfig(t *testing.T) {
	key := keyFile(t, "the key that all of them have")
	addr := freeAddrs(t, 1)[0]
	for want, change := range map[string]func(*Config){
		"peers.key_file":       func(c *Config) { c.KeyFile = keyFile(t, "short") },
		"peers.seeds: empty":   func(c *Config) { c.Seeds = nil },
		"is this instance":     func(c *Config) { c.Seeds = []string{addr} },
		"peers.seeds_file":     func(c *Config) { c.SeedsFile = c.KeyFile },
		"peers.listen \"192.0": func(c *Config) { c.Listen = "192.0.2.1:7946" },
	} {
		t.Run(want, func(t *testing.T) {
			cfg := testConfig("n0", addr, key, "127.0.0.1:1")
			change(&cfg)
			p, err := Start(cfg, slog.New(slog.DiscardHandler))
			if err == nil {
				p.Close()
			}
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, want)
			}
		})
	}
}

// Keys and seeds are reloaded when their files change. An invalid file is ignored.
func TestFilesReloaded(t *testing.T) {
	addrs := freeAddrs(t, 2)
	previous, next := "the key that is there now", "the key that comes next"
	previousFile, nextFile := keyFile(t, previous), keyFile(t, next)
	seedsFile := keyFile(t, "127.0.0.1:1")
	log := slog.New(slog.DiscardHandler)
	cfg := testConfig("n0", addrs[0], previousFile)
	cfg.SeedsFile = seedsFile
	a := startPeers(t, cfg, log)
	b := startPeers(t, testConfig("n1", addrs[1], nextFile, "127.0.0.1:1"), log)
	writeFile(t, seedsFile, "nonsense")
	writeFile(t, previousFile, "short")
	time.Sleep(1500 * time.Millisecond) // the files are checked once a second
	writeFile(t, previousFile, next+"\n"+previous)
	writeFile(t, seedsFile, addrs[1])
	eventually(t, "the instances find one another", func() bool { return allAlive([]*Peers{a, b}, 1) })
}

// Two instances stop at the same time without leaving. One host refuses datagrams,
// the other is silent. The refusing one is declared dead first, while the silent
// one is still suspected, and no other instance is declared dead.
func TestRefusedDatagrams(t *testing.T) {
	const minRefusals = 2 // members that must report a refusal
	addrs := freeAddrs(t, 6)
	key := keyFile(t, "the key that all of them have")
	var all []*Peers
	for i := range 6 {
		cfg := testConfig(fmt.Sprint("n", i), addrs[i], key, addrs[0], addrs[1])
		all = append(all, startPeers(t, cfg, slog.New(slog.DiscardHandler)))
	}
	eventually(t, "the instances find one another", func() bool { return allAlive(all, 5) })
	all[4].conn.Close()
	all[5].conn.Close()
	silent, err := net.ListenPacket("udp4", addrs[5])
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	isDead := func(p *Peers, name string) bool { return memberState(p, name) == "dead" }
	refusedFirst, refusals := 0, 0
	for _, p := range all[:4] {
		eventually(t, "one is declared dead", func() bool { return isDead(p, "n4") || isDead(p, "n5") })
		if isDead(p, "n4") {
			refusedFirst++
		}
		refusals += p.Status().Swim.Refusals
	}
	if refusedFirst < 4 || refusals < minRefusals {
		t.Errorf("got %d of 4 that declare the refusing one dead first, and %d refusals", refusedFirst, refusals)
	}
	for _, p := range all[:4] {
		if alive := p.Status().Alive; alive < 3 {
			t.Errorf("got %d other members, want 3 or more", alive)
		}
	}
}
