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

// killGrace is how long after SIGTERM the platform sends SIGKILL, in addition to the longest deadline (3 s at most).
const killGrace = 700 * time.Millisecond

// instance is one ingress process, with the signals and faults that were applied to it. Its times are those of the
// run's clock.
type instance struct {
	proc.Process
	run             *run
	index           int
	addr            string
	adminAddr       string     // of the admin server
	config          string     // path of its configuration file
	discoveryAgents [2]string  // addresses; each reload moves the instance from one to the other
	operationMu     sync.Mutex // serializes starts, stops and reloads

	mu                sync.Mutex      // guards all below except floods
	killedAt          []time.Duration // SIGKILLs as a fault; requests in flight then are owed no answer
	terminatedAt      []time.Duration // SIGTERMs
	endedAt           []time.Duration // exits
	startedAt         []time.Duration // when it was ready after each start
	reloadedAt        []time.Duration // SIGHUPs
	timedOutAt        []time.Duration // SIGKILLs because a shutdown outlasted its limit
	startDurations    []time.Duration
	drains            []span // by operators, each until the instance must be active again
	floods            []span // in which all its connections may be taken; guarded by run.mu
	configuredAgent   int    // index in discoveryAgents of the one that its configuration names
	exitExpected      bool
	terminating       bool          // between a SIGTERM and the next start
	activations       int           // operator calls that ended a drain
	lateSignals       int           // signals sent after the first SIGTERM
	minTimeBeforeKill time.Duration // shortest time from the end of a shutdown to its limit; 0: none has ended
	crashes           []string      // exits that were not expected, and starts that failed
	invariantLines    []string      // log lines about a violated invariant, a panic or a data race
}

// lineWriter calls a function with each complete line, and passes all bytes on to a writer.
type lineWriter struct {
	output  io.Writer
	onLine  func(string)
	partial []byte // line that is not complete yet
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.partial = append(w.partial, p...)
	for {
		i := bytes.IndexByte(w.partial, '\n')
		if i < 0 {
			break
		}
		w.onLine(string(w.partial[:i]))
		w.partial = w.partial[i+1:]
	}
	return w.output.Write(p)
}

// newInstance prepares an instance without starting it.
func (r *run) newInstance(index int) (*instance, error) {
	in := &instance{run: r, index: index, config: filepath.Join(r.tempDir, fmt.Sprintf("n%d.json", index))}
	clientReservation, err := proc.ReserveAddress(fmt.Sprintf("%s.%d", r.networkPrefix, firstInstanceHost+index))
	if err != nil {
		return nil, err
	}
	r.onClose(clientReservation.Release)
	adminReservation, err := proc.ReserveAddress(fmt.Sprintf("%s.%d", r.networkPrefix, firstInstanceHost+index))
	if err != nil {
		return nil, err
	}
	r.onClose(adminReservation.Release)
	in.addr, in.adminAddr = clientReservation.Addr(), adminReservation.Addr()
	state := filepath.Join(r.tempDir, fmt.Sprint("state-", index))
	if err := os.MkdirAll(state, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.logDir, fmt.Sprintf("n%d.log", index)))
	if err != nil {
		return nil, err
	}
	r.onClose(func() { log.Close() })
	in.Process = proc.Process{
		Name: fmt.Sprint("n", index), Program: r.cfg.Program, Output: &lineWriter{output: log, onLine: in.checkLogLine}, IsServing: in.ping, OnExit: in.onExit,
		Env: append(os.Environ(), "ROUTER_CONFIG="+in.config, "HITCHSPRING_OPTIONS=", "TMPDIR="+state),
	}
	return in, nil
}

// checkLogLine records a log line that reports a violated invariant, a panic or a data race.
func (in *instance) checkLogLine(line string) {
	if strings.Contains(line, "invariant violated") || strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE") {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.invariantLines = append(in.invariantLines, line)
	}
}

// ping reports whether the instance answers PING.
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

// onExit records the exit of the process, and a crash if the exit was not expected.
func (in *instance) onExit(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.endedAt = append(in.endedAt, in.run.clock())
	if !in.exitExpected {
		in.crashes = append(in.crashes, fmt.Sprintf("%s ended by itself at %.3f s: %v: %s", in.Name, in.run.clock().Seconds(), err, in.LastLine()))
	}
}

// writeConfig writes the configuration file, which names one of the agents of discovery.
func (in *instance) writeConfig(agent int) error {
	text, err := in.run.deployment.config(in.index, in.run.cfg.Instances, in.run.cfg.Seed*1000+uint64(in.index)+1, in.addr, in.adminAddr, in.discoveryAgents[agent], in.run.counter.Addr())
	if err != nil {
		return err
	}
	in.mu.Lock()
	in.configuredAgent = agent
	in.mu.Unlock()
	return os.WriteFile(in.config, text, 0o600)
}

// start starts the process and records how long that took.
func (in *instance) start(ctx context.Context) error {
	in.mu.Lock()
	in.exitExpected = false
	in.mu.Unlock()
	began := in.run.clock()
	if err := in.Start(ctx); err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.run.clock()
	in.startedAt, in.startDurations = append(in.startedAt, now), append(in.startDurations, now-began)
	return nil
}

// expectExit marks the exit of the process as expected, and adds the current time to a list.
func (in *instance) expectExit(list *[]time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.exitExpected = true
	*list = append(*list, in.run.clock())
}

// kill kills the process and starts it again after a delay.
func (in *instance) kill(ctx context.Context, delay time.Duration) {
	in.operationMu.Lock()
	defer in.operationMu.Unlock()
	in.expectExit(&in.killedAt)
	in.Stop(syscall.SIGKILL)
	in.restartAfter(ctx, delay)
}

// terminate ends the process as a planned restart does, with further signals before and after the first SIGTERM, and
// starts it again after a delay. A pauseLength above 0 pauses the process near the end of its shutdown limit. A
// process that outlasts the limit is killed.
func (in *instance) terminate(ctx context.Context, delay, pauseLength time.Duration, signals signalSeries) {
	in.operationMu.Lock()
	defer in.operationMu.Unlock()
	limit := min(in.run.deployment.maxDeadline(), 3*time.Second) + killGrace
	in.sendSeries(ctx, signals.before)
	in.expectExit(&in.terminatedAt)
	in.setTerminating(true)
	signalledAt := in.run.clock()
	in.SendSignal(syscall.SIGTERM)
	var sent sync.WaitGroup
	sending, stop := context.WithCancel(ctx)
	sent.Go(func() { in.sendSeries(sending, signals.after) })
	if pauseLength > 0 {
		sleep(ctx, limit-killGrace+450*time.Millisecond)
		in.pauseFor(ctx, pauseLength)
	}
	for in.Running() && in.run.clock()-signalledAt < limit {
		if !sleep(ctx, 5*time.Millisecond) {
			break
		}
	}
	if in.Running() {
		in.mu.Lock()
		in.timedOutAt = append(in.timedOutAt, in.run.clock())
		in.mu.Unlock()
		in.Stop(syscall.SIGKILL)
	} else {
		in.recordTimeBeforeKill(limit - (in.run.clock() - signalledAt))
	}
	stop()
	sent.Wait()
	in.setTerminating(false)
	in.restartAfter(ctx, delay)
}

// recordTimeBeforeKill records how much of the shutdown limit was left when the process had ended.
func (in *instance) recordTimeBeforeKill(left time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.minTimeBeforeKill == 0 || left < in.minTimeBeforeKill {
		in.minTimeBeforeKill = left
	}
}

// restartAfter starts the process after a delay.
func (in *instance) restartAfter(ctx context.Context, delay time.Duration) {
	if !sleep(ctx, delay) {
		return
	}
	if err := in.start(ctx); err != nil && ctx.Err() == nil {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.crashes = append(in.crashes, err.Error())
	}
}

// pauseFor stops the process with SIGSTOP for a while, as if the machine gave it no CPU time.
func (in *instance) pauseFor(ctx context.Context, d time.Duration) {
	if in.SendSignal(syscall.SIGSTOP) != nil {
		return
	}
	sleep(ctx, d)
	in.SendSignal(syscall.SIGCONT)
}

// reload reloads the configuration several times, each time with the other agent of discovery. If torn is set, one
// reload in between finds an incomplete file.
func (in *instance) reload(ctx context.Context, times int, gap time.Duration, torn bool) {
	in.operationMu.Lock()
	defer in.operationMu.Unlock()
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

// killedWithin reports whether the process was killed as a fault between from and to. What it had in flight is owed no
// answer then.
func (in *instance) killedWithin(from, to time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, at := range in.killedAt {
		if at >= from-50*time.Millisecond && at <= to {
			return true
		}
	}
	return false
}

// timeSinceShutdown returns how long before a time the process was last terminated or killed. It is 0 if the process
// has been started again since.
func (in *instance) timeSinceShutdown(at time.Duration) (since time.Duration) {
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
	end := max(latest(in.terminatedAt), latest(in.killedAt))
	if end == 0 || latest(in.startedAt) > end {
		return 0
	}
	return at - end
}

// draining reports whether an operator had drained the instance at a time.
func (in *instance) draining(at time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.ContainsFunc(in.drains, func(s span) bool { return at > s.from && at < s.to })
}

// sleep waits, and returns false if ctx ends before.
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
