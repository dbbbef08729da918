// Package proc manages a child process for the lab. It reserves addresses for the process, starts it, waits until it
// serves, sends it signals, and reports its exit, its resource usage and the last line of its output. The caller
// provides the program, its environment and a readiness check.
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
	// StartTimeout is how long a process may take until it serves.
	StartTimeout = 20 * time.Second
	// stopTimeout is how long Stop waits for the process to exit before it kills it.
	stopTimeout = 8 * time.Second
	// servingPollInterval is how often Start checks whether the process serves.
	servingPollInterval = 5 * time.Millisecond
)

// Process is a child process that can be stopped and started again. Each start has a goroutine that waits for its exit.
// Methods are safe for concurrent use, except that Start and Stop must not be called concurrently.
type Process struct {
	Name      string // for error messages
	Program   string
	Args      []string // excluding the program's name
	Env       []string
	Output    io.Writer   // receives stdout and stderr; may be nil
	IsServing func() bool // readiness check that Start polls
	OnExit    func(error) // called at each exit, before Stop returns; may be nil

	tail tail // the end of its output

	mu     sync.Mutex    // guards the fields below
	cmd    *exec.Cmd     // of the last start; nil if it was never started
	exited chan struct{} // closed at the exit of cmd
	usage  Usage         // total of all starts that have exited
}

// Start starts the process and waits until it serves. If it exits before that, the error includes the last line of its
// output.
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
	// The kernel kills the child if the lab itself is killed.
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

// awaitExit waits for the process's exit, adds its usage and calls OnExit.
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

// awaitServing polls IsServing until the process serves, exits or reaches StartTimeout.
func (p *Process) awaitServing(ctx context.Context, exited <-chan struct{}) error {
	timeout := time.NewTimer(StartTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(servingPollInterval)
	defer poll.Stop()
	for !p.IsServing() {
		select {
		case <-exited:
			return fmt.Errorf("%s exited before it was serving: %s", p.Name, p.LastLine())
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return fmt.Errorf("%s is not serving after %v: %s", p.Name, StartTimeout, p.LastLine())
		case <-poll.C:
		}
	}
	return nil
}

// ErrNotRunning means that a signal could not be sent because the process has exited or was never started.
var ErrNotRunning = errors.New("the process is not running")

// SendSignal sends a signal to the process and does not wait for its effect.
func (p *Process) SendSignal(signal syscall.Signal) error {
	cmd, exited := p.command()
	if cmd == nil || isClosed(exited) {
		return fmt.Errorf("%s: %w", p.Name, ErrNotRunning)
	}
	return cmd.Process.Signal(signal)
}

// Stop sends a terminating signal and waits for the process to exit. If it does not exit within stopTimeout, Stop kills
// it.
func (p *Process) Stop(signal syscall.Signal) {
	cmd, exited := p.command()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(signal) // fails only if the process has exited
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // fails only if the process has exited
		<-exited
	}
}

// Running reports whether the process has been started and has not exited.
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

// Pid returns the process id of the last start, or 0 if the process was never started.
func (p *Process) Pid() int {
	if cmd, _ := p.command(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// LastLine returns the last line of the process's output.
func (p *Process) LastLine() string { return p.tail.lastLine() }

// Usage returns the process's resource usage so far, over all its starts.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	usage := p.usage
	if p.cmd != nil && !isClosed(p.exited) {
		usage.addRunning(p.cmd.Process.Pid)
	}
	return usage
}

// isClosed reports whether a channel is closed. Nothing may ever be sent on the channel.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
