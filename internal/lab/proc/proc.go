// Package proc runs one process of a program for the lab. It reserves the process's addresses, starts it, waits
// until it serves, sends it signals, and reports how it ended, what it used and what it wrote last. Its input is a
// program, its environment and a test of whether it serves. It knows no scenario, no load and no rule.
package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// StartTimeout is how long a start may take.
	StartTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to exit on a signal before it is killed.
	stopTimeout = 8 * time.Second
	// servingPollInterval is how often Start checks whether the process serves.
	servingPollInterval = 5 * time.Millisecond
)

// Process is one program that may be started, stopped and started again. Each start has a goroutine that waits for the
// process's exit. Its methods are safe for concurrent use, but Start and Stop must not be called at the same time.
type Process struct {
	Name      string // in errors
	Program   string
	Args      []string // without the program's name
	Env       []string
	Output    io.Writer   // gets what the process writes; may be nil
	IsServing func() bool // polled by Start
	OnExit    func(error) // called at each exit, before Stop returns; may be nil

	tail tail // of what it wrote

	mu     sync.Mutex    // guards all below
	cmd    *exec.Cmd     // of the last start; nil: it was never started
	exited chan struct{} // closed at the exit of cmd
	usage  Usage         // of the starts that have exited
}

// Start starts the process and waits until it serves. If it exits before, the error has its last line.
func (p *Process) Start(ctx context.Context) error {
	exited, err := p.launch()
	if err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	return p.awaitServing(ctx, exited)
}

// launch starts the process and returns the channel that is closed at its exit.
func (p *Process) launch() (exited chan struct{}, err error) {
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Env = p.Env
	// A lab that is killed leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output := io.Writer(&p.tail)
	if p.Output != nil {
		output = io.MultiWriter(&p.tail, p.Output)
	}
	cmd.Stdout, cmd.Stderr = output, output
	exited = make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd, p.exited = cmd, exited
	go p.awaitExit(cmd, exited)
	return exited, nil
}

// awaitExit waits for the process's exit, adds what it used and calls OnExit.
func (p *Process) awaitExit(cmd *exec.Cmd, exited chan<- struct{}) {
	defer close(exited)
	err := cmd.Wait()
	p.mu.Lock()
	p.usage.addExited(cmd.ProcessState)
	p.mu.Unlock()
	if p.OnExit != nil {
		p.OnExit(err)
	}
}

// awaitServing polls until the process serves.
func (p *Process) awaitServing(ctx context.Context, exited <-chan struct{}) error {
	timeout := time.NewTimer(StartTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(servingPollInterval)
	defer poll.Stop()
	for !p.IsServing() {
		select {
		case <-exited:
			return fmt.Errorf("%s ended at its start: %s", p.Name, p.LastLine())
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return fmt.Errorf("%s does not serve after %v: %s", p.Name, StartTimeout, p.LastLine())
		case <-poll.C:
		}
	}
	return nil
}

// ErrNotRunning means that a signal was sent to a process that has exited, or was never started.
var ErrNotRunning = errors.New("the process is not running")

// SendSignal sends a signal and does not wait.
func (p *Process) SendSignal(signal syscall.Signal) error {
	cmd, exited := p.command()
	if cmd == nil || isClosed(exited) {
		return fmt.Errorf("%s: %w", p.Name, ErrNotRunning)
	}
	return cmd.Process.Signal(signal)
}

// Stop sends a signal that ends the process and waits for its exit. A process that does not exit within stopTimeout is
// killed.
func (p *Process) Stop(signal syscall.Signal) {
	cmd, exited := p.command()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(signal) // fails only if it has exited
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // fails only if it has exited
		<-exited
	}
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	cmd, exited := p.command()
	return cmd != nil && !isClosed(exited)
}

// command returns the command of the last start, or nil, with the channel that is closed at its exit.
func (p *Process) command() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// Pid returns the process's id, 0 if it was never started.
func (p *Process) Pid() int {
	if cmd, _ := p.command(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// LastLine returns the last line that the process wrote.
func (p *Process) LastLine() string { return p.tail.lastLine() }

// Usage returns what the process has used so far, over all its starts.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	usage := p.usage
	if p.cmd != nil && !isClosed(p.exited) {
		usage.addRunning(p.cmd.Process.Pid)
	}
	return usage
}

// isClosed reports whether a channel that is only closed is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
