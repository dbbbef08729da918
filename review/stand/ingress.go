package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	startedMu sync.Mutex
	started   []*Ingress

	// Admin is the operators' address of the ingress that is started next; empty: it has none.
	Admin string
)

// KillAll ends every process that the case has started.
func KillAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, i := range started {
		i.cmd.Process.Kill()
		<-i.Exited
		os.RemoveAll(i.dir)
	}
	started = nil
}

// Ingress is one process that the deploy file's run has started.
type Ingress struct {
	Addr   string
	Exited chan struct{} // closed when it has ended
	State  *os.ProcessState
	cmd    *exec.Cmd
	dir    string
	log    *os.File
}

// Limits are the limits of an ingress.
type Limits struct {
	MemoryMB, Sockets int
}

// runCommand returns the command of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		Fatal("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		Fatal("the deploy file has no run")
	}
	return string(match[1])
}

// Root is the root of the repository; a case runs in review/N.
func Root() string {
	root, err := filepath.Abs("../..")
	if err != nil {
		Fatal("%v", err)
	}
	return root
}

// Start starts an ingress and waits until it answers PING with PONG. Its log goes to a file in its own temporary
// folder; Log returns it.
func Start(settings map[string]any, list List, discovery, counter string, limits Limits) *Ingress {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		Fatal("%v", err)
	}
	i := &Ingress{Addr: FreeAddr(), dir: dir, Exited: make(chan struct{})}
	tmp := filepath.Join(dir, "tmp")
	os.Mkdir(tmp, 0o700)
	config := map[string]any{
		"name": "n0", "listen": i.Addr, "discovery": discovery, "counter": counter,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "known": list, "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
	}
	if Admin != "" {
		config["admin_addr"] = Admin
	}
	text, _ := json.Marshal(config)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		Fatal("%v", err)
	}
	if i.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		Fatal("%v", err)
	}
	i.cmd = exec.Command("/bin/sh", "-c", runCommand(Root()))
	i.cmd.Dir = Root()
	i.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_NAME=n0", "ROUTER_LISTEN=" + i.Addr,
		"ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + path,
	}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		Fatal("%v", err)
	}
	go func() {
		i.cmd.Wait()
		i.State = i.cmd.ProcessState
		close(i.Exited)
	}()
	startedMu.Lock()
	started = append(started, i)
	startedMu.Unlock()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if c, err := Dial(i.Addr); err == nil {
			c.Conn.Write(EncodeCommand("PING"))
			answer := c.Read(time.Second)
			c.Conn.Close()
			if answer.Text == "+PONG" {
				return i
			}
		}
		if time.Now().After(end) || i.HasExited() {
			Fatal("the ingress is not ready:\n%s", i.Log())
		}
	}
}

// HasExited reports whether the process has ended.
func (i *Ingress) HasExited() bool {
	select {
	case <-i.Exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (i *Ingress) Signal(s syscall.Signal) { i.cmd.Process.Signal(s) }

// Log returns the process's log.
func (i *Ingress) Log() string {
	text, _ := os.ReadFile(filepath.Join(i.dir, "log"))
	return string(bytes.TrimSpace(text))
}

// AnonymousKB returns the process's resident anonymous memory: the pages of the program's own file are not in it.
func (i *Ingress) AnonymousKB() (used int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(value, &used)
		}
	}
	return used
}
