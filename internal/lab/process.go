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

// target is one real ingress, a process of its own, as the day sees it: when it is to be counted on.
type instance struct {
	proc.Process
	tb          *Testbed
	index       int
	host        string // completeViews its own addresses are there
	addr        string // slowness its clients
	metricsAddr string // where it says what it holds; empty: nowhere
	mu          sync.Mutex
	downSpans   []span // when it was not to be counted on
	crash       string
	exited      bool // it has ended by itself, as it may
}

// exitDetectionDelay is within which the end of a process that ends by itself is known.
const exitDetectionDelay = 100 * ms

type span struct{ from, to time.Duration }

// reserveAddress draws an address of the instance's own host, which is held until the run's end.
func (inst *instance) reserveAddress() (string, error) {
	h, err := proc.ReserveAddress(inst.host)
	if err != nil {
		return "", fmt.Errorf("%s: %w", inst.Name, err)
	}
	inst.tb.onClose(h.Release)
	return h.Addr(), nil
}

// handleExit notes an end that nobody asked for.
func (inst *instance) handleExit(err error) {
	last := inst.LastLine()
	if links := inst.tb.links; links != nil { // closing fails nowhere
		links.SetServing(inst.Name, false)
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if len(inst.downSpans) == 0 || inst.downSpans[len(inst.downSpans)-1].to != 0 {
		if slices.Contains(inst.tb.cfg.MayExit, inst.index) {
			inst.downSpans, inst.exited = append(inst.downSpans, span{from: max(0, inst.tb.clock()-exitDetectionDelay)}), true
			return
		}
		inst.crash = fmt.Sprintf("%s ended by itself: %v: %s", inst.Name, err, last)
	}
}

func (inst *instance) ping() bool {
	nc, err := net.DialTimeout("tcp", inst.addr, 200*ms)
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

// markDown says that the process is not to be counted on from now on, up that it is again.
func (inst *instance) markDown() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.downSpans = append(inst.downSpans, span{from: inst.tb.clock()})
}

func (inst *instance) markUp() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if n := len(inst.downSpans); n > 0 {
		inst.downSpans[n-1].to = inst.tb.clock()
	}
}

// wasDown says whether the process was down at some time between the two.
func (inst *instance) wasDown(from, to time.Duration) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	for _, s := range inst.downSpans {
		if from <= s.to+100*ms && to >= s.from || s.to == 0 && to >= s.from {
			return true
		}
	}
	return false
}

// restartBackend kills the process and starts it after a while.
func (inst *instance) restart(ctx context.Context, after time.Duration) error {
	inst.markDown()
	inst.Stop(syscall.SIGKILL)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(after):
	}
	if links := inst.tb.links; links != nil {
		if err := links.SetServing(inst.Name, true); err != nil {
			return fmt.Errorf("%s: %w", inst.Name, err)
		}
	}
	err := inst.Start(ctx)
	inst.markUp()
	return err
}

// catchUpTime is how long a process that was stopped may take to catch up, which is nobody's fault.
const catchUpTime = 300 * ms

// pauseLab stops the process and lets it go on after a while.
func (inst *instance) pause(ctx context.Context, d time.Duration) error {
	inst.markDown()
	if err := inst.SendSignal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	err := inst.SendSignal(syscall.SIGCONT)
	select {
	case <-ctx.Done():
	case <-time.After(catchUpTime):
	}
	inst.markUp()
	return err
}

// terminate ends the process in the way of a planned restart.
func (inst *instance) terminate() {
	if inst.Running() {
		inst.markDown()
		inst.Stop(syscall.SIGTERM)
	}
}

// frontDetectionDelay is how long the front before the ingresses goes on sending to a dead one.
const frontDetectionDelay = 1500 * ms

// avoidedSamples says whether the front has noticed that the instance is down.
func (inst *instance) routedAround(now time.Duration) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	n := len(inst.downSpans)
	return n > 0 && inst.downSpans[n-1].to == 0 && now > inst.downSpans[n-1].from+frontDetectionDelay
}
