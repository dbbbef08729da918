package peers

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newWaitingPeers returns an instance that has not opened its socket, and its log.
func newWaitingPeers(t *testing.T) (*Peers, *logBuffer) {
	t.Helper()
	addrs := freeAddrs(t, 2)
	log := &logBuffer{}
	cfg := testConfig("a", addrs[0], keyFile(t, "the key that all of them have"), addrs[1])
	p, err := newPeers(cfg, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return p, log
}

// Guards against an instance that stops waiting for its address and never joins the
// group because of a temporary system error, such as a lack of file descriptors.
func TestWaitForAddressSurvivesSystemErrors(t *testing.T) {
	p, log := newWaitingPeers(t)
	failures := []error{syscall.EADDRINUSE, syscall.ENFILE, syscall.ENOBUFS}
	p.openSocket = func(network string, addr *net.UDPAddr) (*net.UDPConn, error) {
		if len(failures) > 0 {
			err := failures[0]
			failures = failures[1:]
			return nil, err
		}
		return net.ListenUDP(network, addr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if !p.waitForAddress(ctx) {
		t.Fatalf("waitForAddress gave up, want an open socket; log:\n%s", log.String())
	}
	defer p.conn.Close()
	got, named := log.count("peer group not joined yet"), strings.Contains(log.String(), syscall.ENFILE.Error())
	if got != 1 || !named {
		t.Errorf("got %d lines, want one with %v:\n%s", got, syscall.ENFILE, log.String())
	}
}

// Guards against a reader that uses a full core while reads keep failing, or stops
// reading afterwards. It must pause between failures, log the error once, and
// receive again when reads succeed.
func TestPersistentReadErrorsPauseReader(t *testing.T) {
	const (
		failing  = 300 * time.Millisecond
		maxReads = maxErrorsWithoutPause + int(2*failing/readErrorPause)
	)
	addrs := freeAddrs(t, 2)
	key := keyFile(t, "the key that all of them have")
	log := &logBuffer{}
	a := startPeers(t, testConfig("a", addrs[0], key, addrs[1]), slog.New(slog.NewTextHandler(log, nil)))
	a.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails at once
	time.Sleep(failing)
	if got := a.readErrors.Load(); got > int64(maxReads) {
		t.Errorf("got %d failed reads in %v, want at most %d", got, failing, maxReads)
	}
	if got := log.count("peer datagrams can't be read"); got != 1 {
		t.Errorf("got %d lines, want one:\n%s", got, log.String())
	}
	a.conn.SetReadDeadline(time.Time{})
	b := startPeers(t, testConfig("b", addrs[1], key, addrs[0]), slog.New(slog.DiscardHandler))
	eventually(t, "the instances find one another", func() bool { return allAlive([]*Peers{a, b}, 1) })
}
