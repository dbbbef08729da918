// Package proc runs one real process of a program for the lab: it holds its addresses from the draw on, starts it, waits until
// it serves, signals it, and knows how it ended and what it said last. In: a program, its environment, a test of whether it
// serves. Out: starts, ends, use of the machine. It must never know a day, a load or a rule.
package proc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// StartLimit is how long a start may take.
	StartTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	maxTailBytes = 4 << 10
)

// Usage is what the kernel says of a process, over all its starts.
type Usage struct {
	CPU    time.Duration
	PeakKB int64
}

// Process is one program that may be started, ended and started again. Its methods are safe for many goroutines; Start and
// Signal of one process are not called at one time.
type Process struct {
	Name      string
	Program   string
	Args      []string // beside the program's own name
	Env       []string
	Output    io.Writer   // what it writes goes there too; nil: nowhere
	IsServing func() bool // asked until it says yes, or the process has ended
	OnExit    func(error) // called at each end, before Signal returns; nil: nobody

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	usage  Usage
	output tail
}

// Start starts the process and waits until it serves. One that ends before is an error that has its last line.
func (p *Process) Start(ctx context.Context) error {
	p.mu.Lock()
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Env = p.Env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the lab killed in the middle leaves none behind
	out := io.Writer(&p.output)
	if p.Output != nil {
		out = io.MultiWriter(&p.output, p.Output)
	}
	cmd.Stdout, cmd.Stderr = out, out
	err := cmd.Start()
	done := make(chan struct{})
	if err == nil {
		p.cmd, p.exited = cmd, done
	}
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	go func() {
		defer close(done)
		err := cmd.Wait()
		p.mu.Lock()
		if s, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.usage.CPU += time.Duration(s.Utime.Nano() + s.Stime.Nano())
			p.usage.PeakKB = max(p.usage.PeakKB, int64(s.Maxrss))
		}
		p.mu.Unlock()
		if p.OnExit != nil {
			p.OnExit(err)
		}
	}()
	limit := time.NewTimer(StartTimeout)
	defer limit.Stop()
	again := time.NewTicker(5 * time.Millisecond)
	defer again.Stop()
	for !p.IsServing() {
		select {
		case <-done:
			return fmt.Errorf("%s ended at its start: %s", p.Name, p.LastLine())
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return fmt.Errorf("%s does not serve after %v: %s", p.Name, StartTimeout, p.LastLine())
		case <-again.C:
		}
	}
	return nil
}

// ErrNotRunning is a signal to a process that has ended, or was never started.
var ErrNotRunning = errors.New("the process is not running")

// Send sends a signal and waits for nothing.
func (p *Process) SendSignal(sig syscall.Signal) error {
	cmd, done := p.command()
	if cmd == nil {
		return fmt.Errorf("%s: %w", p.Name, ErrNotRunning)
	}
	select {
	case <-done:
		return fmt.Errorf("%s: %w", p.Name, ErrNotRunning)
	default:
		return cmd.Process.Signal(sig)
	}
}

// Signal sends a signal that ends the process, and waits for that; one that does not end in time is killed.
func (p *Process) Stop(sig syscall.Signal) {
	cmd, done := p.command()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		cmd.Process.Kill()
		<-done
	}
}

// Running says whether it was started and has not ended.
func (p *Process) Running() bool {
	cmd, done := p.command()
	if cmd == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (p *Process) command() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// Pid is the process's number; 0 where it was never started.
func (p *Process) Pid() int {
	if cmd, _ := p.command(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// LastLine is the last whole line that it wrote.
func (p *Process) LastLine() string { return p.output.last() }

// Use reads what the process has used so far, with what was used before its last start.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.usage
	if p.cmd == nil {
		return u
	}
	select {
	case <-p.exited:
		return u
	default:
	}
	pid := p.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if i := bytes.LastIndexByte(text, ')'); i > 0 {
			if f := strings.Fields(string(text[i+1:])); len(f) > 12 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				u.CPU += time.Duration(user+system) * 10 * time.Millisecond
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for line := range strings.Lines(string(text)) {
			if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
				u.PeakKB = max(u.PeakKB, kb)
			}
		}
	}
	return u
}

// tail keeps the end of what was written.
type tail struct {
	mu sync.Mutex
	b  []byte
}

// Write is io.Writer's.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b = append(t.b, b...)
	if n := len(t.b) - maxTailBytes; n > 0 {
		t.b = append(t.b[:0], t.b[n:]...)
	}
	return len(b), nil
}

func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := strings.TrimRight(string(t.b), "\n")
	if text == "" {
		return "it said nothing"
	}
	return text[strings.LastIndexByte(text, '\n')+1:]
}
