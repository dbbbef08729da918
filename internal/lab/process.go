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

// instance is an ingress process, with the times during which it was unavailable because of injected faults.
type instance struct {
	proc.Process
	tb          *Testbed
	index       int
	host        string // of all its own addresses
	addr        string // for clients
	metricsAddr string // metrics listener; empty: none
	mu          sync.Mutex
	downSpans   []span // when it was unavailable
	crash       string
	exited      bool // it exited by itself, as Config.MayExit allows
}

// exitDetectionDelay bounds the time until the exit of a process that ends by itself is detected.
const exitDetectionDelay = 100 * ms

type span struct{ from, to time.Duration }

// reserveAddress reserves a free port on the instance's host until the end of the run.
func (inst *instance) reserveAddress() (string, error) {
	h, err := proc.ReserveAddress(inst.host)
	if err != nil {
		return "", fmt.Errorf("%s: %w", inst.Name, err)
	}
	inst.tb.onClose(h.Release)
	return h.Addr(), nil
}

// handleExit records an exit of the process that the testbed did not cause.
func (inst *instance) handleExit(err error) {
	last := inst.LastLine()
	if links := inst.tb.links; links != nil { // SetServing returns no error when it closes
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

// markDown records that the process is unavailable from now on; markUp ends this.
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

// wasDown reports whether the process was unavailable at some time between from and to, or up to 100 ms before.
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

// restart kills the process and starts it again after a delay.
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

// catchUpTime is how long a process may take to catch up after a stop; during this time it still counts as
// unavailable.
const catchUpTime = 300 * ms

// pause stops the process with SIGSTOP and continues it after d.
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

// terminate ends the process with SIGTERM, as a planned restart does.
func (inst *instance) terminate() {
	if inst.Running() {
		inst.markDown()
		inst.Stop(syscall.SIGTERM)
	}
}

// frontDetectionDelay is how long the front end before the instances goes on sending to a dead one.
const frontDetectionDelay = 1500 * ms

// routedAround reports whether the front end has detected that the instance is down.
func (inst *instance) routedAround(now time.Duration) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	n := len(inst.downSpans)
	return n > 0 && inst.downSpans[n-1].to == 0 && now > inst.downSpans[n-1].from+frontDetectionDelay
}
