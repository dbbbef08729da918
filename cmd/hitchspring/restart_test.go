package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

const (
	restartedInstances = 24 // that are killed and started again at once
	trialInstances     = 40 // the same with HITCHSPRING_TRIALS=1

	mostReady = 10 * time.Second // for nine in ten restarted instances
	allReady  = 30 * time.Second // for each of them
	slowCall  = 3 * time.Second  // before slow discovery answers a call
	firstWord = 15 * time.Second // within which a request is served that needs a list of discovery's
)

// callAnswer says how a stand-in of discovery answers one call; it returns whether the call is to be answered with the list.
type callAnswer func(w http.ResponseWriter, r *http.Request) (list bool)

// healthy answers at once.
func healthy(http.ResponseWriter, *http.Request) bool { return true }

// slow answers each call after slowCall.
func slow(_ http.ResponseWriter, r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(slowCall):
		return true
	}
}

// silent takes the call and never answers.
func silent(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return false
}

// unavailable answers 503.
func unavailable(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// registry starts a stand-in of discovery that tells one list: whole on each call, also at the begin of a watch, which then stays open.
func registry(t *testing.T, list discovery.List, answer callAnswer) (addr string) {
	t.Helper()
	const emptyLine = 2 * time.Second // between two signs of life on a watch
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answer(w, r) {
			return
		}
		json.NewEncoder(w).Encode(list)
		if r.URL.Query().Get("follow") == "" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(emptyLine):
				io.WriteString(w, "\n")
			}
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// refusing is an address at which every connection is refused, on a host of its own, so that nobody else takes the port.
func refusing(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.93.81.8:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// Nine in ten instances that were killed and started again, all at once, answer PING within 10 s, and all within 30 s, however discovery
// fares. Those that hold a list, or can get one, then serve.
func TestRestartOfAllInstances(t *testing.T) {
	number := restartedInstances
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		number = trialInstances
	}
	node := scripted.NewBackend(t, func(int, []string, net.Conn) string { return scripted.Served })
	list := discovery.List{Rev: 7, Complete: true, Targets: []discovery.Target{{UID: "s0", Endpoint: node.Addr, Zone: "a", State: "SERVING"}}}
	discoveries := []struct {
		name, addr string
		tells      bool // the list, sooner or later
	}{
		{"healthy", registry(t, list, healthy), true},
		{"slow", registry(t, list, slow), true},
		{"silent", registry(t, list, silent), false},
		{"refuses", refusing(t), false},
		{"unavailable", registry(t, list, unavailable), false},
	}
	var instances []*instance
	for n := range number {
		instances = append(instances, newInstance(t, n))
	}
	restart(t, instances, platform{discovery: discoveries[0].addr, known: list, instances: number, mode: "push"})
	requests := 0
	for _, mode := range []string{"subscribe", "push"} {
		for _, known := range []bool{true, false} {
			for _, d := range discoveries {
				p := platform{discovery: d.addr, instances: number, mode: mode}
				name := fmt.Sprintf("%s/no list/%s", mode, d.name)
				if known {
					p.known, name = list, fmt.Sprintf("%s/known list/%s", mode, d.name)
				}
				t.Run(name, func(t *testing.T) {
					took := restart(t, instances, p)
					nine := took[(len(took)*9+9)/10-1]
					t.Logf("ready after: p50 %v, p90 %v, last %v", took[len(took)/2], nine, took[len(took)-1])
					if nine > mostReady {
						t.Errorf("nine in ten were ready after %v, want %v at the most", nine, mostReady)
					}
					if !known && (!d.tells || d.name == "slow" && mode == "push") { // a pushed list is given up on after 1 s
						return
					}
					within := firstWord
					if known {
						within = time.Second
					}
					served := time.Now()
					requests += number
					serveAll(t, instances, requests, within)
					t.Logf("the last served %v later", time.Since(served).Round(time.Millisecond))
				})
			}
		}
	}
}

// restart kills all instances, starts them again at once, waits until each is ready, and returns in order how long that took.
func restart(t *testing.T, instances []*instance, p platform) (took []time.Duration) {
	t.Helper()
	for _, i := range instances {
		if i.cmd != nil {
			i.cmd.Process.Kill()
		}
	}
	for n, i := range instances {
		i.kill()
		i.configure(t, n, p)
	}
	ctx, cancel := context.WithTimeout(t.Context(), allReady)
	defer cancel()
	took = make([]time.Duration, len(instances))
	var all sync.WaitGroup
	for n, i := range instances {
		all.Go(func() {
			began := time.Now()
			if err := i.start(); err != nil {
				t.Error(err)
				return
			}
			if err := i.awaitReady(ctx); err != nil {
				t.Error(err)
			}
			took[n] = time.Since(began).Round(time.Millisecond)
		})
	}
	all.Wait()
	if t.Failed() {
		t.FailNow()
	}
	slices.Sort(took)
	return took
}

// serveAll has each instance serve a request within a time; what is refused before is asked again.
func serveAll(t *testing.T, instances []*instance, firstID int, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	var all sync.WaitGroup
	for n, i := range instances {
		all.Go(func() {
			last := ""
			for try := 0; ; try++ {
				answer, err := i.ask(firstID + n + try<<20)
				if strings.HasPrefix(answer, "$5") {
					return
				}
				last = fmt.Sprintf("%q, %v", answer, err)
				if time.Now().After(end) {
					t.Errorf("instance %s serves no request within %v: %s", i.listen, within, last)
					return
				}
				time.Sleep(pingEvery)
			}
		})
	}
	all.Wait()
}

// ask sends one request on a new connection and returns the first line of its answer.
func (i *instance) ask(id int) (answer string, err error) {
	nc, err := net.DialTimeout("tcp", i.listen, pingTimeout)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(nc, request(id)); err != nil {
		return "", err
	}
	return bufio.NewReader(nc).ReadString('\n')
}
