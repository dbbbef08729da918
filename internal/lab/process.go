package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ingress is one real ingress, a process of its own.
type ingress struct {
	w       *World
	n       int
	name    string
	program string
	addr    string
	env     []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	downs   []span // when it was not to be counted on
	crashed string
	use     usage
}

type span struct{ from, to time.Duration }

// usage is what the kernel says of a process.
type usage struct {
	CPU    time.Duration
	PeakKB int64
}

// start starts the process and waits until it answers PING.
func (g *ingress) start(ctx context.Context) error {
	g.mu.Lock()
	cmd := exec.Command(g.program)
	cmd.Env = g.env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the lab killed in the middle leaves none behind
	if log := g.w.cfg.Log; log != nil {
		cmd.Stdout, cmd.Stderr = log, log
	}
	err := cmd.Start()
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	if err != nil {
		return fmt.Errorf("starting %s: %w", g.name, err)
	}
	go func() {
		defer close(done)
		err := cmd.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		if s, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			g.use.CPU += time.Duration(s.Utime.Nano() + s.Stime.Nano())
			g.use.PeakKB = max(g.use.PeakKB, int64(s.Maxrss))
		}
		if len(g.downs) == 0 || g.downs[len(g.downs)-1].to != 0 {
			g.crashed = fmt.Sprint(g.name, " ended by itself: ", err)
		}
	}()
	for end := time.Now().Add(startLimit); ; time.Sleep(5 * ms) {
		if g.ping() {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%s ended at its start; run with --logs to see why", g.name)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not answer", g.name)
		}
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

// signal sends a signal and waits for the process to end.
func (g *ingress) signal(sig syscall.Signal) {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(endLimit):
		cmd.Process.Kill()
		<-done
	}
}

// end ends the process in the way of a planned restart.
func (g *ingress) end() {
	g.mu.Lock()
	running := g.done != nil
	g.mu.Unlock()
	if running {
		g.down()
		g.signal(syscall.SIGTERM)
	}
}

// now reads the running process's use.
func (g *ingress) now() usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.use
	if g.cmd == nil || g.cmd.Process == nil || g.cmd.ProcessState != nil {
		return u
	}
	pid := g.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if i := strings.LastIndexByte(string(text), ')'); i > 0 {
			if f := strings.Fields(string(text)[i+1:]); len(f) > 12 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				u.CPU += time.Duration(user+system) * 10 * ms
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
				u.PeakKB = max(u.PeakKB, kb)
			}
		}
	}
	return u
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
