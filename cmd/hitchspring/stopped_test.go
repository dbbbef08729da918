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
	maxDeadline        = time.Second                               // of the only request class in the settings
	platformKillDelay  = maxDeadline + 700*time.Millisecond        // earliest SIGKILL by the platform after SIGTERM
	stopDuration       = 150 * time.Millisecond                    // how long a process is stopped during its shutdown
	longDeadlineFields = "c=a,t=p,d=2000,units=1,spread=1,first=0" // a client deadline longer than a shutdown takes
)

// A process that is stopped (SIGSTOP) for a moment during its shutdown, while its backends hang, still answers every
// client before the platform would kill it. The test guards against timers that count from the end of an earlier step
// of the shutdown, which a stopped process reaches late: the deadlines of the last answers and of closing connections
// must count from SIGTERM. Each instance is stopped at another step.
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

// shutDownWithStop shuts one process down while requests are open, and stops it for stopDuration at stopAfter after
// SIGTERM.
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
