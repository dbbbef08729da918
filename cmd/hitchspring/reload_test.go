package main

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

// Several SIGHUPs in a row move a process from one discovery address to the next, among them a refusing, an invalid and
// a silent one. The last one lists a backend as draining. While clients keep sending, no request reaches that backend
// more than 2 s after the last SIGHUP, and none is rejected.
func TestSIGHUPsDuringBackendDrain(t *testing.T) {
	const (
		drainWithin     = 2 * time.Second
		quietPeriod     = 500 * time.Millisecond
		requestInterval = 5 * time.Millisecond
		sighupInterval  = 20 * time.Millisecond
	)
	var drainingLog, servingLog arrivalLog
	drainingAddr, servingAddr := drainingLog.startBackend(t), servingLog.startBackend(t)
	list := func(revision int64, state string) discovery.List {
		targets := []discovery.Target{target("s0", drainingAddr, state), target("s1", servingAddr, "SERVING")}
		return discovery.List{Rev: revision, Complete: true, Targets: targets}
	}
	before, after := list(3, "SERVING"), list(4, "DRAINING")
	p := healthyPlatformConfig(t, before)
	i := startInstance(t, p)
	var calls atomic.Int64
	lastDiscovery := startDiscovery(t, after, func(http.ResponseWriter, *http.Request) bool {
		calls.Add(1)
		return true
	})
	id := 1 << 20
	sendFor := func(span time.Duration) {
		t.Helper()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(requestInterval) {
			id++
			if answer, err := i.send(id); err != nil || answer != "$5\r\n" {
				t.Fatalf("got answer %q, %v, want a value", answer, err)
			}
		}
	}
	sendFor(quietPeriod)
	if last, _ := drainingLog.latest(); last.IsZero() {
		t.Fatal("the backend received no request before it drains")
	}
	for _, addr := range []string{refusedAddr(t), "nowhere", startDiscovery(t, before, silent), lastDiscovery} {
		p.discovery = addr
		i.configure(t, 0, p)
		i.process.signal(syscall.SIGHUP)
		sendFor(sighupInterval)
	}
	moved := time.Now()
	sendFor(drainWithin + quietPeriod)
	if calls.Load() == 0 {
		t.Error("the last discovery address was never called")
	}
	last, _ := drainingLog.latest()
	t.Logf("the last command arrived %v after the last SIGHUP", last.Sub(moved).Round(time.Millisecond))
	if late := last.Sub(moved); late > drainWithin {
		t.Errorf("a command arrived %v after the last SIGHUP, want %v at most", late, drainWithin)
	}
}
