package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

const (
	maxDeadline        = time.Second                               // of the settings' one class
	platformKillDelay  = maxDeadline + 700*time.Millisecond        // SIGTERM the platform kills at the earliest
	stopDuration       = 150 * time.Millisecond                    // an instance may be held up between two of its steps
	longDeadlineFields = "c=a,t=p,d=2000,units=1,spread=1,first=0" // the client waits longer than a shutdown takes
)

// Processes that shut down are stopped for a moment, at each step of their shutdown, while their backends hang: each
// accepted client has its answer before the platform kills. The last answers are due, and connections close, by times
// that count from SIGTERM and not from the end of an earlier step, which a stopped process reaches late.
func TestStopDuringShutdown(t *testing.T) {
	hanging := scripted.Listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	list := servingList(1, hanging)
	var running sync.WaitGroup
	for n, stopAfter := range []time.Duration{500, 560, 590, 1370, 1400, 1430, 1460, 1490} {
		i := newInstance(t, n)
		i.configure(t, 0, healthyPlatformConfig(t, list))
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
		running.Go(func() { shutDownWithStop(t, i, stopAfter*time.Millisecond) })
	}
	running.Wait()
}

// shutDownWithStop shuts one process down under open requests, and stops it for a moment, stopAfter after SIGTERM.
func shutDownWithStop(t *testing.T, i *instance, stopAfter time.Duration) {
	if err := i.awaitReady(t.Context()); err != nil {
		t.Error(err)
		return
	}
	const clients = 20
	var open []net.Conn
	for id := range clients {
		conn, err := net.Dial("tcp", i.listen)
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		open = append(open, conn)
		if _, err := io.WriteString(conn, requestWith(id+1, longDeadlineFields)); err != nil {
			t.Error(err)
			return
		}
	}
	time.Sleep(50 * time.Millisecond)
	term := time.Now()
	i.process.signal(syscall.SIGTERM)
	time.Sleep(time.Until(term.Add(stopAfter)))
	i.process.signal(syscall.SIGSTOP)
	time.Sleep(stopDuration)
	i.process.signal(syscall.SIGCONT)
	unanswered := 0
	for _, conn := range open {
		conn.SetReadDeadline(term.Add(platformKillDelay))
		if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.HasPrefix(line, "-") {
			unanswered++
		}
	}
	if unanswered > 0 {
		t.Errorf("stopped %v after SIGTERM: %d of %d clients had no answer %v after it",
			stopAfter, unanswered, clients, platformKillDelay)
	}
}
