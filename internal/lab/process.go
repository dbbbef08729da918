package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"hitchspring/internal/lab/proc"
)

// ingress is one real ingress, a process of its own, as the day sees it: when it is to be counted on.
type ingress struct {
	proc.Process
	w       *Testbed
	n       int
	host    string // all its own addresses are there
	addr    string // of its clients
	metrics string // where it says what it holds; empty: nowhere
	mu      sync.Mutex
	downs   []span // when it was not to be counted on
	crashed string
	died    bool // it has ended by itself, as it may
}

// noticing is within which the end of a process that ends by itself is known.
const noticing = 100 * ms

type span struct{ from, to time.Duration }

// hold draws an address of the instance's own host, which is held until the run's end.
func (g *ingress) hold() (string, error) {
	h, err := proc.ReserveAddress(g.host)
	if err != nil {
		return "", fmt.Errorf("%s: %w", g.Name, err)
	}
	g.w.onClose(h.Release)
	return h.Addr(), nil
}

// ended notes an end that nobody asked for.
func (g *ingress) ended(err error) {
	last := g.LastLine()
	if links := g.w.links; links != nil { // closing fails nowhere
		links.SetServing(g.Name, false)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.downs) == 0 || g.downs[len(g.downs)-1].to != 0 {
		if slices.Contains(g.w.cfg.Mortal, g.n) {
			g.downs, g.died = append(g.downs, span{from: max(0, g.w.clock()-noticing)}), true
			return
		}
		g.crashed = fmt.Sprintf("%s ended by itself: %v: %s", g.Name, err, last)
	}
}

func (g *ingress) ping() bool {
	nc, err := net.DialTimeout("tcp", g.addr, 200*ms)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(500 * ms))
	io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
	var b [7]byte
	_, err = io.ReadFull(nc, b[:])
	return err == nil && string(b[:5]) == "+PONG"
}

// down says that the process is not to be counted on from now on, up that it is again.
func (g *ingress) down() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.downs = append(g.downs, span{from: g.w.clock()})
}

func (g *ingress) up() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.downs); n > 0 {
		g.downs[n-1].to = g.w.clock()
	}
}

// wasDown says whether the process was down at some time between the two.
func (g *ingress) wasDown(from, to time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.downs {
		if from <= s.to+100*ms && to >= s.from || s.to == 0 && to >= s.from {
			return true
		}
	}
	return false
}

// restart kills the process and starts it after a while.
func (g *ingress) restart(ctx context.Context, after time.Duration) error {
	g.down()
	g.Stop(syscall.SIGKILL)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(after):
	}
	if links := g.w.links; links != nil {
		if err := links.SetServing(g.Name, true); err != nil {
			return fmt.Errorf("%s: %w", g.Name, err)
		}
	}
	err := g.Start(ctx)
	g.up()
	return err
}

// wakeTime is how long a process that was stopped may take to catch up, which is nobody's fault.
const wakeTime = 300 * ms

// pause stops the process and lets it go on after a while.
func (g *ingress) pause(ctx context.Context, d time.Duration) error {
	g.down()
	if err := g.SendSignal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	err := g.SendSignal(syscall.SIGCONT)
	select {
	case <-ctx.Done():
	case <-time.After(wakeTime):
	}
	g.up()
	return err
}

// end ends the process in the way of a planned restart.
func (g *ingress) end() {
	if g.Running() {
		g.down()
		g.Stop(syscall.SIGTERM)
	}
}

// noticed is how long the front before the ingresses goes on sending to a dead one.
const noticed = 1500 * ms

// left says whether the front has noticed that the instance is down.
func (g *ingress) left(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.downs)
	return n > 0 && g.downs[n-1].to == 0 && now > g.downs[n-1].from+noticed
}
