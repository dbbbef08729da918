package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotRun marks a case that could not run: exit status 2.
var errNotRun = errors.New("the case could not run")

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{w: bufio.NewWriterSize(f, 1<<16), f: f, start: time.Now()}, nil
}

// Log writes one line with the time since the start in milliseconds.
func (r *Record) Log(format string, args ...any) { r.LogAt(time.Now(), format, args...) }

func (r *Record) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.1f ", float64(at.Sub(r.start).Microseconds())/1000)
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

// readArray reads a command: an array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if line == "" || line[0] != '*' {
		return nil, fmt.Errorf("not an array: %.40q", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 16 {
		return nil, fmt.Errorf("bad array: %.40q", line)
	}
	var args []string
	for range n {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] != '$' {
			return nil, fmt.Errorf("not a bulk string: %.40q", line)
		}
		size, err := strconv.Atoi(line[1:])
		if err != nil || size < 0 || size > 8<<20 {
			return nil, fmt.Errorf("bad length: %.40q", line)
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:size]))
	}
	return args, nil
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), err
}

// encode encodes a command.
func encode(args ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.Bytes()
}

// Arrival is a whole request at a backend.
type Arrival struct {
	Backend string
	Name    string // Q.ASK or Q.DO
	ID      string
	At      time.Time
	Conn    net.Conn
	Fields  string
}

// Backend is a stand-in of a playout node.
type Backend struct {
	UID, Addr, Zone string
	Cell            int
	BootMS          int64
	State           string
	rec             *Record
	ln              net.Listener
	// Serve handles a whole request; it writes the answer. The connection is read again after it has returned.
	Serve func(a Arrival, nc net.Conn)
	mu    sync.Mutex
	got   []Arrival
	conns map[net.Conn]bool
}

func newBackend(rec *Record, uid, zone string, cell int) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{
		UID: uid, Addr: ln.Addr().String(), Zone: zone, Cell: cell, State: "SERVING",
		rec: rec, ln: ln, conns: map[net.Conn]bool{},
	}
	b.Serve = func(a Arrival, nc net.Conn) {
		time.Sleep(30 * time.Millisecond)
		nc.Write([]byte(served("value-" + a.ID)))
	}
	go b.accept()
	return b, nil
}

func served(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

func (b *Backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[nc] = true
		b.mu.Unlock()
		go b.serve(nc)
	}
}

func (b *Backend) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	in := bufio.NewReaderSize(nc, 64<<10)
	for {
		args, err := readArray(in)
		if err != nil {
			return
		}
		switch args[0] {
		case "PING":
			io.WriteString(nc, "+PONG\r\n")
		case "INFO":
			io.WriteString(nc, "$5\r\nqps=1\r\n")
		case "Q.ASK", "Q.DO":
			a := Arrival{Backend: b.UID, Name: args[0], ID: args[2], At: time.Now(), Conn: nc, Fields: args[3]}
			b.mu.Lock()
			b.got = append(b.got, a)
			b.mu.Unlock()
			b.rec.LogAt(a.At, "node %s got %s %s", b.UID, a.Name, a.ID)
			b.Serve(a, nc)
		case "CLIENT", "SELECT":
			io.WriteString(nc, "+OK\r\n")
		default:
			io.WriteString(nc, "-ERR unknown\r\n")
		}
	}
}

// Got returns the requests that have come whole.
func (b *Backend) Got() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.got...)
}

func (b *Backend) target() map[string]any {
	return map[string]any{
		"uid": b.UID, "endpoint": b.Addr, "az": b.Zone, "model": "std-2c", "pod_group": b.Cell,
		"state": b.State, "capacity_hint": 1.0, "boot_ms": b.BootMS,
	}
}

// Discovery is a stand-in of the agent.
type Discovery struct {
	Addr string
	mu   sync.Mutex
	rev  int
	all  []*Backend
	subs map[chan []byte]bool
	srv  *http.Server
}

func newDiscovery(backends []*Backend) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), rev: 1, all: backends, subs: map[chan []byte]bool{}}
	d.srv = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.srv.Serve(ln)
	return d, nil
}

func (d *Discovery) list() map[string]any {
	targets := []any{}
	for _, b := range d.all {
		targets = append(targets, b.target())
	}
	return map[string]any{"rev": d.rev, "all": true, "targets": targets}
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	whole, _ := json.Marshal(d.list())
	if r.URL.Query().Get("follow") == "" {
		d.mu.Unlock()
		w.Write(whole)
		return
	}
	updates := make(chan []byte, 64)
	d.subs[updates] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.subs, updates)
		d.mu.Unlock()
	}()
	flush := w.(http.Flusher).Flush
	w.Write(append(whole, '\n'))
	flush()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case u := <-updates:
			w.Write(append(u, '\n'))
		case <-tick.C:
			w.Write([]byte("\n"))
		}
		flush()
	}
}

// Counter is a stand-in of the platform's counter.
type Counter struct {
	Addr string
	mu   sync.Mutex
	sums map[string]float64
}

func newCounter() (*Counter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: ln.Addr().String(), sums: map[string]float64{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(nc)
		}
	}()
	return c, nil
}

func (c *Counter) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case line == "ping":
			io.WriteString(nc, "pong\r\n")
		case len(words) == 4 && words[0] == "tally":
			n, _ := strconv.ParseFloat(words[2], 64)
			c.mu.Lock()
			c.sums[words[1]] += n
			total := c.sums[words[1]]
			c.mu.Unlock()
			fmt.Fprintf(nc, "ok %.4f\r\n", total)
		default:
			io.WriteString(nc, "error\r\n")
		}
	}
}

const settingsText = `{
 "classes": [{"deadlineUs": 1000000, "effect": "read_like", "group": "all", "lateShare": 0.0, "name": "guide-read", "objectiveUs": 400000, "streaming": false, "value": 2.0, "windowUs": 5000000}, {"deadlineUs": 2000000, "effect": "read_like", "group": "all", "lateShare": 0.2, "name": "schedule-set", "objectiveUs": 750000, "streaming": false, "value": 2.0, "windowUs": 5000000}, {"deadlineUs": 5000000, "effect": "idempotency_key", "group": "cell", "lateShare": 0.0, "name": "clip-publish", "objectiveUs": 1500000, "streaming": false, "value": 5.0, "windowUs": 3000000}],
 "contracts": [{"burst": 9.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 1.2, "excessWorth": 0.0, "hardRate": 0.0, "name": "grend", "price": 0.45, "refill": 1.9, "tolerance": 0.0}, {"burst": 31.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 0.8, "excessWorth": 0.0, "hardRate": 0.0, "name": "bygd", "price": 0.88, "refill": 6.4, "tolerance": 0.0}, {"burst": 34.0, "capDepth": 0.0, "concurrency": 0, "excessCost": 0.5, "excessWorth": 0.0, "hardRate": 0.0, "name": "by", "price": 1.1, "refill": 16.0, "tolerance": 0.0}, {"burst": 117.0, "capDepth": 215.0, "concurrency": 5, "excessCost": 0.6, "excessWorth": 0.0, "hardRate": 75.0, "name": "storby", "price": 1.6, "refill": 40.0, "tolerance": 22.0}],
 "family": "gate",
 "familyInfo": {"costAfter": false, "counterPrice": 0.005, "counterTimeoutUs": 80000, "maxUnits": 4, "meterUs": 0, "peerIntake": 0.0, "sharedCounter": true},
 "flavors": ["std-2c", "slow-3c"],
 "invariants": {"answerSlackUs": 16000, "askWithinUs": 10000000, "coldFrom": 0.25, "drainGraceUs": 2000000, "fallMultiple": 4.0, "fallUs": 1000000, "warmAfterUs": 18000000},
 "layers": ["playout-fleet"],
 "me": 0,
 "myZone": "hall-a",
 "objectiveMix": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.25},
 "periodUs": 4000,
 "permissions": {"connIdleUs": 15000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 500000, "maxStreams": 100, "mayCancel": true, "mayTell": false, "parallelTries": true, "probing": true, "retryAfter": true},
 "prices": {"connection": 0.0, "crossZone": 0.01, "handshake": 0.0, "lateFail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "registryMode": 0.0, "waste": 0.03},
 "registryMode": "automatic",
 "replicasOfMe": 3,
 "report": {"columns": ["qps"], "how": "pull"},
 "tier": 0,
 "weightSource": "silent",
 "zones": ["hall-a", "hall-b", "hall-c"]}`

// Rig is a small deployment: nodes, discovery, the counter and one ingress.
type Rig struct {
	Rec       *Record
	Root      string // of the repository
	Dir       string // temporary
	Backends  []*Backend
	Discovery *Discovery
	Counter   *Counter
	Listen    string
	Admin     string
	MemoryMB  int
	Sockets   int
	Settings  map[string]any
	Socket    *os.File // the clients' listening socket, if the platform holds it
	Ingress   *Process
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newRig makes a deployment with so many nodes in three halls, racks of three. The ingress isn't started yet.
func newRig(rec *Record, root string, nodes int) (*Rig, error) {
	r := &Rig{Rec: rec, Root: root, MemoryMB: 192, Sockets: 1024}
	if err := json.Unmarshal([]byte(settingsText), &r.Settings); err != nil {
		return nil, err
	}
	var err error
	if r.Dir, err = os.MkdirTemp("", "review-second-"); err != nil {
		return nil, err
	}
	started.mu.Lock()
	started.folders = append(started.folders, r.Dir)
	started.mu.Unlock()
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range nodes {
		b, err := newBackend(rec, fmt.Sprintf("s-%04x", i+1), zones[i/3%3], i/3)
		if err != nil {
			return nil, err
		}
		r.Backends = append(r.Backends, b)
	}
	if r.Discovery, err = newDiscovery(r.Backends); err != nil {
		return nil, err
	}
	if r.Counter, err = newCounter(); err != nil {
		return nil, err
	}
	if r.Listen, err = freeAddr(); err != nil {
		return nil, err
	}
	r.Admin, err = freeAddr()
	return r, err
}

// Class returns the settings of a class, to be changed before the start.
func (r *Rig) Class(name string) map[string]any {
	for _, c := range r.Settings["classes"].([]any) {
		if c := c.(map[string]any); c["name"] == name {
			return c
		}
	}
	return nil
}

// Process is a running ingress.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// startProcess starts a process that the case ends at its end.
func startProcess(cmd *exec.Cmd) (*Process, error) {
	started.mu.Lock()
	defer started.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	started.all = append(started.all, p)
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process, if it runs, and waits for it.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	if !p.Ended() {
		_ = p.cmd.Process.Kill()
	}
	<-p.ended
}

// runCommand returns the line run of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no line run")
	}
	return string(m[1]), nil
}

// Start starts the ingress by the deploy file and waits until it answers PING.
func (r *Rig) Start() error {
	run, err := runCommand(r.Root)
	if err != nil {
		return err
	}
	known := r.Discovery.list()
	config := map[string]any{
		"name": "n1", "listen": r.Listen, "discovery": r.Discovery.Addr, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": r.MemoryMB, "sockets": r.Sockets},
		"counter": r.Counter.Addr, "known": known, "settings": r.Settings, "admin_addr": r.Admin,
	}
	text, _ := json.Marshal(config)
	path := filepath.Join(r.Dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	tmp := filepath.Join(r.Dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	logFile, err := os.OpenFile(filepath.Join(r.Dir, "ingress.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = r.Root
	if r.Socket != nil { // the platform holds the listening socket: descriptor 7
		null, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		defer null.Close()
		cmd.ExtraFiles = []*os.File{null, null, null, null, r.Socket}
	}
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=n1", "ROUTER_LISTEN="+r.Listen,
		"ROUTER_DISCOVERY="+r.Discovery.Addr, "ROUTER_ADMIN_ADDR="+r.Admin, "TMPDIR="+tmp)
	if r.Socket != nil {
		cmd.Env = append(cmd.Env, "ROUTER_SOCKET_FD=7")
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p, err := startProcess(cmd)
	if err != nil {
		return err
	}
	logFile.Close()
	r.Ingress = p
	for range 600 {
		if p.Ended() {
			return fmt.Errorf("the ingress ended at its start: %v", p.err)
		}
		if r.Socket == nil && pong(r.Listen) || r.Socket != nil && r.ready() {
			r.Rec.Say("ingress ready")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the ingress isn't ready after 30 s")
}

func pong(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(300 * time.Millisecond))
	nc.Write(encode("PING"))
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// Stop ends everything and removes the temporary folder.
func (r *Rig) Stop() {
	r.Ingress.Kill()
	if log, err := os.ReadFile(filepath.Join(r.Dir, "ingress.log")); err == nil {
		lines := strings.Split(string(log), "\n")
		for _, line := range lines[max(0, len(lines)-40):] {
			r.Rec.Log("ingress log: %s", line)
		}
	}
	os.RemoveAll(r.Dir)
}

// All returns all requests that have come whole to any node.
func (r *Rig) All() (all []Arrival) {
	for _, b := range r.Backends {
		all = append(all, b.Got()...)
	}
	return all
}

// adminPut makes a call at the operators' door and returns its status.
func (r *Rig) adminPut(path string) (int, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+r.Admin+path, nil)
	if err != nil {
		return 0, err
	}
	req.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

var (
	idMu   sync.Mutex
	lastID = uint64(time.Now().UnixNano()) &^ 0xfffff
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

// readReply reads one answer: its first byte's kind and the text.
func readReply(in *bufio.Reader) (kind byte, text string, err error) {
	line, err := readLine(in)
	if err != nil {
		return 0, "", err
	}
	if line == "" {
		return 0, "", errors.New("empty line")
	}
	if line[0] != '$' {
		return line[0], line[1:], nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return '$', "", fmt.Errorf("bad answer %.40q", line)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return '$', "", err
	}
	return '$', string(b[:n]), nil
}

// ready asks the operators' door whether the process is ready to serve.
func (r *Rig) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.Admin + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// HoldSocket makes the platform hold the clients' listening socket.
func (r *Rig) HoldSocket() error {
	ln, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	r.Socket, err = ln.(*net.TCPListener).File()
	ln.Close()
	return err
}
