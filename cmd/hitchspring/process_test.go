package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"hitchspring/internal/testlog"
)

// process is a running process of the program, started as the platform starts it. A goroutine waits for its end.
type process struct {
	cmd    *exec.Cmd
	log    testlog.Buffer
	ended  chan struct{} // closed after cmd.Wait has returned
	result error         // of cmd.Wait; valid after ended is closed
}

// startProcess starts the program with only the given environment variables and inherited files. It does not wait until
// the process is ready.
func startProcess(program string, environment []string, inherited ...*os.File) (*process, error) {
	p := &process{cmd: exec.Command(program), ended: make(chan struct{})}
	p.cmd.Env = environment
	p.cmd.ExtraFiles = inherited
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.result = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) }

// kill sends SIGKILL to the process and waits until it has ended.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// residentKB returns the resident anonymous memory of the process in KiB; 0 when it has ended.
func (p *process) residentKB() (used int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			used, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return used
}

// freeAddr returns a loopback address on which nothing listens at the moment.
func freeAddr(t *testing.T) string {
	t.Helper()
	return freeAddrOn(t, "127.0.0.1")
}

// freeAddrOn returns an address of a host on which nothing listens at the moment.
func freeAddrOn(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeFile writes a file with mode 0600.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// request returns a RESP2 command for a request of class a with a deadline of 900 ms.
func request(id int) string { return requestWith(id, "c=a,t=p,d=900,units=1,spread=1,first=0") }

// requestWith returns a RESP2 command for a request with the given fields.
func requestWith(id int, fields string) string {
	const (
		command = "*4\r\n$5\r\nQ.ASK\r\n"
		tenant  = "$16\r\n00000000b4d65521\r\n"
	)
	return command + tenant + fmt.Sprintf("$16\r\n%016x\r\n$%d\r\n%s\r\n", id, len(fields), fields)
}
