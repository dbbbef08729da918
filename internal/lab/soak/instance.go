package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchspring/internal/lab/proc"
	"hitchspring/internal/lab/respclient"
)

// killAfter is how long after SIGTERM, beyond the longest deadline (3 s at most), the platform sends SIGKILL.
const killAfter = 700 * time.Millisecond

// instance is one ingress, a process of its own, and what was done to it.
type instance struct {
	proc.Process
	run    *run
	n      int
	addr   string
	admin  string    // of the operators' door
	config string    // path of its configuration
	agents [2]string // of discovery: a new configuration moves from one to the other
	acting sync.Mutex

	mu              sync.Mutex
	kills           []time.Duration // by the run, of a process that owed nothing any more
	terms           []time.Duration
	ends            []time.Duration
	starts          []time.Duration
	hangups         []time.Duration
	overrun         []time.Duration // kills of a process that had not ended by the time that the platform leaves it
	startup         []time.Duration // how long each start took
	drains          []span          // by operators, until it is surely back at work
	crowds          []span          // in which all its places may be taken; r.mu
	configuredAgent int             // which agent its configuration names
	expected        bool            // its end is
	ending          bool            // it has been sent a SIGTERM
	activations     int             // calls of operators that ended a drain
	lateSignals     int             // sent to it after a first SIGTERM
	nearestKill     time.Duration   // the least time that was left to SIGKILL when it had ended after a SIGTERM; 0: it never has
	crashed         []string
	violated        []string // lines of its log about an invariant
}

// lineWriter hands whole lines to a function, and passes everything on.
type lineWriter struct {
	to   io.Writer
	line func(string)
	rest []byte
}

// Write is io.Writer's.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			break
		}
		w.line(string(w.rest[:i]))
		w.rest = w.rest[i+1:]
	}
	return w.to.Write(p)
}

// newInstance prepares an instance; it does not run yet.
func (r *run) newInstance(n int) (*instance, error) {
	in := &instance{run: r, n: n, config: filepath.Join(r.dir, fmt.Sprintf("n%d.json", n))}
	held, err := proc.ReserveAddress(fmt.Sprintf("%s.%d", r.network, firstInstanceHost+n))
	if err != nil {
		return nil, err
	}
	r.onClose(held.Release)
	door, err := proc.ReserveAddress(fmt.Sprintf("%s.%d", r.network, firstInstanceHost+n))
	if err != nil {
		return nil, err
	}
	r.onClose(door.Release)
	in.addr, in.admin = held.Addr(), door.Addr()
	state := filepath.Join(r.dir, fmt.Sprint("state-", n))
	if err := os.MkdirAll(state, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.logs, fmt.Sprintf("n%d.log", n)))
	if err != nil {
		return nil, err
	}
	r.onClose(func() { log.Close() })
	in.Process = proc.Process{
		Name: fmt.Sprint("n", n), Program: r.cfg.Program, Output: &lineWriter{to: log, line: in.logged}, IsServing: in.ping, OnExit: in.ended,
		Env: append(os.Environ(), "ROUTER_CONFIG="+in.config, "HITCHSPRING_OPTIONS=", "TMPDIR="+state),
	}
	return in, nil
}

// logged notes what an instance says of its invariants, and what the runtime says of it.
func (in *instance) logged(line string) {
	if strings.Contains(line, "invariant violated") || strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE") {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.violated = append(in.violated, line)
	}
}

func (in *instance) ping() bool {
	nc, err := net.DialTimeout("tcp", in.addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(500 * time.Millisecond))
	io.WriteString(nc, respclient.EncodeCommand("PING"))
	var b [5]byte
	_, err = io.ReadFull(nc, b[:])
	return err == nil && string(b[:]) == "+PONG"
}

func (in *instance) ended(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ends = append(in.ends, in.run.clock())
	if !in.expected {
		in.crashed = append(in.crashed, fmt.Sprintf("%s ended by itself at %.3f s: %v: %s", in.Name, in.run.clock().Seconds(), err, in.LastLine()))
	}
}

// write writes its configuration, which names one of its agents.
func (in *instance) write(agent int) error {
	text, err := in.run.deployment.config(in.n, in.run.cfg.Instances, in.run.cfg.Seed*1000+uint64(in.n)+1, in.addr, in.admin, in.agents[agent], in.run.counter.Addr())
	if err != nil {
		return err
	}
	in.mu.Lock()
	in.configuredAgent = agent
	in.mu.Unlock()
	return os.WriteFile(in.config, text, 0o600)
}

// start starts the process and notes how long that took.
func (in *instance) start(ctx context.Context) error {
	in.mu.Lock()
	in.expected = false
	in.mu.Unlock()
	began := in.run.clock()
	if err := in.Start(ctx); err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.run.clock()
	in.starts, in.startup = append(in.starts, now), append(in.startup, now-began)
	return nil
}

// expect says that the end of the process is wanted, and notes when it was asked for.
func (in *instance) expect(list *[]time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.expected = true
	*list = append(*list, in.run.clock())
}

// kill kills the process and starts it again after a while.
func (in *instance) kill(ctx context.Context, pause time.Duration) {
	in.acting.Lock()
	defer in.acting.Unlock()
	in.expect(&in.kills)
	in.Stop(syscall.SIGKILL)
	in.startAgain(ctx, pause)
}

// terminate ends the process as a planned restart does, and starts it again after a while. Further signals come before and after the
// first SIGTERM. Once it is held up for a time, near the end of what it has.
func (in *instance) terminate(ctx context.Context, pause, hold time.Duration, signals signalSeries) {
	in.acting.Lock()
	defer in.acting.Unlock()
	limit := min(in.run.deployment.longest(), 3*time.Second) + killAfter
	in.sendSeries(ctx, signals.before)
	in.expect(&in.terms)
	in.setEnding(true)
	began := in.run.clock()
	in.SendSignal(syscall.SIGTERM)
	var sent sync.WaitGroup
	sending, stop := context.WithCancel(ctx)
	sent.Go(func() { in.sendSeries(sending, signals.after) })
	if hold > 0 {
		sleep(ctx, limit-killAfter+450*time.Millisecond)
		in.holdUp(ctx, hold)
	}
	for in.Running() && in.run.clock()-began < limit {
		if !sleep(ctx, 5*time.Millisecond) {
			break
		}
	}
	if in.Running() {
		in.mu.Lock()
		in.overrun = append(in.overrun, in.run.clock())
		in.mu.Unlock()
		in.Stop(syscall.SIGKILL)
	} else {
		in.noteEnd(limit - (in.run.clock() - began))
	}
	stop()
	sent.Wait()
	in.setEnding(false)
	in.startAgain(ctx, pause)
}

// noteEnd notes how much time was left to SIGKILL when the process had ended.
func (in *instance) noteEnd(left time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.nearestKill == 0 || left < in.nearestKill {
		in.nearestKill = left
	}
}

func (in *instance) startAgain(ctx context.Context, pause time.Duration) {
	if !sleep(ctx, pause) {
		return
	}
	if err := in.start(ctx); err != nil && ctx.Err() == nil {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.crashed = append(in.crashed, err.Error())
	}
}

// holdUp stops the process for a moment, as a machine without time for it does.
func (in *instance) holdUp(ctx context.Context, d time.Duration) {
	if in.SendSignal(syscall.SIGSTOP) != nil {
		return
	}
	sleep(ctx, d)
	in.SendSignal(syscall.SIGCONT)
}

// hangUp gives the process a new configuration, so many times, each of which moves to the other agent; with torn the file is half written once in between.
func (in *instance) hangUp(ctx context.Context, times int, gap time.Duration, torn bool) {
	in.acting.Lock()
	defer in.acting.Unlock()
	for i := range times {
		if torn && i == times/2 {
			os.WriteFile(in.config, []byte(`{"listen":"`+in.addr+`","disco`), 0o600)
			in.SendSignal(syscall.SIGHUP)
			sleep(ctx, gap)
		}
		if !in.moveAgent() {
			return
		}
		sleep(ctx, gap)
	}
}

// killedWithin reports whether the run killed the process, which frees it of what it had, at some time between the two.
func (in *instance) killedWithin(from, to time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, at := range in.kills {
		if at >= from-50*time.Millisecond && at <= to {
			return true
		}
	}
	return false
}

// leavingFor is how long before a time the process was told to end, or had ended, and was not started again since; 0: it serves.
func (in *instance) leavingFor(at time.Duration) (since time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	latest := func(list []time.Duration) (last time.Duration) {
		for _, x := range list {
			if x <= at {
				last = max(last, x)
			}
		}
		return last
	}
	end := max(latest(in.terms), latest(in.kills))
	if end == 0 || latest(in.starts) > end {
		return 0
	}
	return at - end
}

// draining reports whether operators had the instance drained at a time.
func (in *instance) draining(at time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.ContainsFunc(in.drains, func(s span) bool { return at > s.from && at < s.to })
}

// sleep waits; false where ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
