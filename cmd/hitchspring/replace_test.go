package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

// process is the program as the platform runs it.
type process struct {
	cmd   *exec.Cmd
	admin string
	ended chan struct{}
	err   error
}

func (p *process) call(verb, path string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(verb, "http://"+p.admin+path, nil)
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// holds is the descriptors and the memory of its own in KiB that a process has now; 0, 0 when it has gone.
func (p *process) holds() (fds, kib int) {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	list, _ := os.ReadDir(dir + "/fd")
	text, _ := os.ReadFile(dir + "/status")
	for l := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kib, _ = strconv.Atoi(strings.Fields(v)[0])
		}
	}
	return len(list), kib
}

// Processes of the real program follow each other on an inherited socket under load: by SIGTERM, and by SIGKILL with requests
// open. What was told to the first holds at the last, and two together stay within the platform's smallest limits.
func TestProcessesFollowEachOther(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hitchspring")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var sent [2]atomic.Int64
	list := discovery.List{Rev: 1, Complete: true}
	for i := range sent {
		n := scripted.NewBackend(t, func(int, []string, net.Conn) string {
			sent[i].Add(1)
			time.Sleep(3 * time.Millisecond)
			return scripted.Served
		})
		list.Targets = append(list.Targets, discovery.Target{UID: fmt.Sprint("s", i), Endpoint: n.Addr, Zone: "a", State: "SERVING"})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	dir := t.TempDir()
	known, _ := json.Marshal(list)
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","known":%s,"limits":{"cores":1,"memory_mb":32,"sockets":256},"settings":{"replicasOfMe":1,
		"permissions":{"maxAttempts":3,"retryAfter":true,"maxRetryAfterUs":500000},
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}],"contracts":[{"name":"p","price":1}]}}`,
		ln.Addr(), scripted.Registry(t, list, nil), known)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() *process {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &process{admin: free.Addr().String(), ended: make(chan struct{})}
		free.Close()
		p.cmd = exec.Command(program)
		p.cmd.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_ADMIN_ADDR=" + p.admin, "ROUTER_SOCKET_FD=3", "TMPDIR=" + dir}
		p.cmd.ExtraFiles = []*os.File{socket}
		p.cmd.Stderr = t.Output()
		if err := p.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go func() {
			p.err = p.cmd.Wait()
			close(p.ended)
		}()
		t.Cleanup(func() {
			p.cmd.Process.Kill()
			<-p.ended
		})
		for end := time.Now().Add(6 * time.Second); p.call("GET", "/v1/readyz") != 200; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no yes within 6 s")
			}
		}
		return p
	}
	first := start()

	var answered, cut, odd atomic.Int64
	var id atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	for range 25 {
		clients.Go(func() {
			for {
				nc, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					odd.Add(1)
					return
				}
				in := bufio.NewReader(nc)
				for ok := true; ok; {
					select {
					case <-stop:
						nc.Close()
						return
					case <-time.After(2 * time.Millisecond):
					}
					nc.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
					if _, err := in.Peek(1); err == io.EOF {
						break
					}
					nc.SetReadDeadline(time.Now().Add(5 * time.Second))
					fields := "c=a,t=p,d=900,units=1,spread=1,first=0"
					fmt.Fprintf(nc, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n", id.Add(1), len(fields), fields)
					switch head, err := in.ReadString('\n'); {
					case err != nil:
						cut.Add(1)
						ok = false
					case strings.HasPrefix(head, "$"):
						in.ReadString('\n')
						answered.Add(1)
					default:
						odd.Add(1)
					}
				}
				nc.Close()
			}
		})
	}
	goesOn := func() {
		t.Helper()
		had := answered.Load()
		for end := time.Now().Add(5 * time.Second); answered.Load() < had+200; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the clients are not answered any more")
			}
		}
	}
	goesOn()
	if s := first.call("PUT", "/v1/backends/s1/suspend"); s != 200 {
		t.Fatalf("suspend: %d", s)
	}
	time.Sleep(500 * time.Millisecond)
	had := sent[1].Load()

	second := start()
	first.cmd.Process.Signal(syscall.SIGTERM)
	for gone := false; !gone; {
		f1, m1 := first.holds()
		f2, m2 := second.holds()
		if f1+f2 > 256 || m1+m2 > 32<<10 {
			t.Errorf("two processes hold %d+%d descriptors and %d+%d KiB", f1, f2, m1, m2)
		}
		select {
		case <-first.ended:
			gone = true
		case <-time.After(50 * time.Millisecond):
		}
	}
	if first.err != nil {
		t.Errorf("after SIGTERM the first ended with %v", first.err)
	}
	goesOn()
	if cut.Load() > 2 || odd.Load() > 0 {
		t.Errorf("by SIGTERM: %d requests turned back, %d answered oddly, of %d", cut.Load(), odd.Load(), answered.Load())
	}

	third := start()
	second.cmd.Process.Kill() // with requests open
	goesOn()
	close(stop)
	clients.Wait()
	if odd.Load() > 0 || cut.Load() > 30 {
		t.Errorf("by SIGKILL: %d requests cut, %d answered oddly", cut.Load(), odd.Load())
	}
	if n := sent[1].Load() - had; n > 0 {
		t.Errorf("%d sends to the node that was taken out", n)
	}
	if s := third.call("PUT", "/v1/backends/s1/resume"); s != 200 {
		t.Errorf("resume at the third: %d", s)
	}
	t.Logf("%d answered, %d cut", answered.Load(), cut.Load())
}
