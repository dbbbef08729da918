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

// newWaitingPeers returns an instance without a socket, and its log.
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

// Guards against an instance that gives up its part among its peers for good,
// because the system had no descriptor for a moment while it waited for its address.
func TestWaitForAddressOutlivesSystemErrors(t *testing.T) {
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
		t.Fatalf("it gave up, want a socket; log:\n%s", log.String())
	}
	defer p.conn.Close()
	got, named := log.count("peer group not joined yet"), strings.Contains(log.String(), syscall.ENFILE.Error())
	if got != 1 || !named {
		t.Errorf("got %d lines, want one with %v:\n%s", got, syscall.ENFILE, log.String())
	}
}
