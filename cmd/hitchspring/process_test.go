package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	"hitchspring/internal/testlog"
)

// process is one run of the program as the platform runs it. Its goroutine ends with the process; kill ends both.
type process struct {
	cmd    *exec.Cmd
	log    testlog.Buffer
	ended  chan struct{} // closed when the process has been waited for
	result error         // of the process; read it after ended
}

// startProcess starts the program with no other environment than the one given, and waits for nothing.
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

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// freeAddr returns a loopback address on which nothing listens just now.
func freeAddr(t *testing.T) string {
	t.Helper()
	return freeAddrOn(t, "127.0.0.1")
}

// freeAddrOn returns an address of a host on which nothing listens just now.
func freeAddrOn(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeFile writes a file that only the test's user may read.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// request returns a command of class a in RESP2, with 900 ms for its answer.
func request(id int) string { return requestWith(id, "c=a,t=p,d=900,units=1,spread=1,first=0") }

// requestWith returns a command with the fields given.
func requestWith(id int, fields string) string {
	const (
		command = "*4\r\n$5\r\nQ.ASK\r\n"
		tenant  = "$16\r\n00000000b4d65521\r\n"
	)
	return command + tenant + fmt.Sprintf("$16\r\n%016x\r\n$%d\r\n%s\r\n", id, len(fields), fields)
}
