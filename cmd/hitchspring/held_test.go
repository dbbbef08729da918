package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

const (
	longestDeadline = time.Second                               // of the settings' one class
	killedAfter     = longestDeadline + 700*time.Millisecond    // SIGTERM the platform kills at the earliest
	heldUpFor       = 150 * time.Millisecond                    // an ingress may be held up between two of its steps
	patientFields   = "c=a,t=p,d=2000,units=1,spread=1,first=0" // of a request whose client waits for longer than a shutdown takes
)

// TestTermWhileHeldUp has processes that are told to end held up for a moment, at each step of their end, while their backends hang: whoever was
// taken has its answer before the platform kills. Before, the last answers were due so long after the end of a first wait, not after SIGTERM, and
// connections were closed at a time of their own: a process that woke after both closed them with nothing said.
func TestTermWhileHeldUp(t *testing.T) {
	hangs := scripted.Listen(t, func(nc net.Conn) { io.Copy(io.Discard, nc) })
	list := discovery.List{Rev: 1, Complete: true, Targets: []discovery.Target{{UID: "s0", Endpoint: hangs, Zone: "a", State: "SERVING"}}}
	var wg sync.WaitGroup
	for n, heldFrom := range []time.Duration{500, 560, 590, 1370, 1400, 1430, 1460, 1490} {
		i := newInstance(t, n)
		i.configure(t, 0, platform{discovery: registry(t, list, healthy), known: list, instances: 1, mode: "push", attempts: 3})
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { endHeldUp(t, i, heldFrom*time.Millisecond) })
	}
	wg.Wait()
}

// endHeldUp ends one process, stopped for a moment a while after SIGTERM, under open requests.
func endHeldUp(t *testing.T, i *instance, heldFrom time.Duration) {
	if err := i.awaitReady(t.Context()); err != nil {
		t.Error(err)
		return
	}
	const clients = 20
	var open []net.Conn
	for id := range clients {
		nc, err := net.Dial("tcp", i.listen)
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		open = append(open, nc)
		text := fmt.Sprintf("*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n", id+1, len(patientFields), patientFields)
		if _, err := io.WriteString(nc, text); err != nil {
			t.Error(err)
			return
		}
	}
	time.Sleep(50 * time.Millisecond)
	term := time.Now()
	i.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(term.Add(heldFrom)))
	i.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(heldUpFor)
	i.cmd.Process.Signal(syscall.SIGCONT)
	unanswered := 0
	for _, nc := range open {
		nc.SetReadDeadline(term.Add(killedAfter))
		if line, err := bufio.NewReader(nc).ReadString('\n'); err != nil || !strings.HasPrefix(line, "-") {
			unanswered++
		}
	}
	if unanswered > 0 {
		t.Errorf("held up from %v after SIGTERM: %d of %d clients had no answer %v after it", heldFrom, unanswered, clients, killedAfter)
	}
}
