package main

import (
	"context"
	"fmt"
	"net"
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

	maxReadyP90                = 10 * time.Second // for nine in ten restarted instances
	maxReady                   = 30 * time.Second // for each of them
	maxServeDelayKnownList     = time.Second      // until a ready instance serves that has an endpoint list
	maxServeDelayFromDiscovery = 15 * time.Second // the same for one that gets it from discovery
)

// restartCase is one way in which discovery and the configuration meet restarted instances.
type restartCase struct {
	discoveryMode string // as in platformConfig
	known         bool   // the configuration holds an endpoint list
	discovery     namedDiscovery
}

// namedDiscovery is a stand-in of discovery.
type namedDiscovery struct {
	name, addr   string
	providesList bool // with the list, sooner or later
}

// name returns the name of the subtest.
func (c restartCase) name() string {
	if c.known {
		return fmt.Sprintf("%s/known list/%s", c.discoveryMode, c.discovery.name)
	}
	return fmt.Sprintf("%s/no list/%s", c.discoveryMode, c.discovery.name)
}

// serves reports whether the instances can serve: they hold a list, or can get one. A pushed list that is slow is given
// up on after 1 s.
func (c restartCase) serves() bool {
	slowPush := c.discovery.name == "slow" && c.discoveryMode == "push"
	return c.known || c.discovery.providesList && !slowPush
}

// Nine in ten instances that were killed and started again, all at once, answer PING within 10 s, and all within 30 s,
// however discovery fares. Those that hold an endpoint list, or can get one, then serve.
func TestRestartOfAllInstances(t *testing.T) {
	count := restartedInstances
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		count = trialInstances
	}
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return scripted.Served })
	list := servingList(7, backend.Addr)
	discoveries := []namedDiscovery{
		{"healthy", startDiscovery(t, list, healthy), true},
		{"slow", startDiscovery(t, list, slow), true},
		{"silent", startDiscovery(t, list, silent), false},
		{"refuses", refusedAddr(t), false},
		{"unavailable", startDiscovery(t, list, unavailable), false},
	}
	var cases []restartCase
	for _, discoveryMode := range []string{"subscribe", "push"} {
		for _, known := range []bool{true, false} {
			for _, d := range discoveries {
				cases = append(cases, restartCase{discoveryMode: discoveryMode, known: known, discovery: d})
			}
		}
	}
	var instances []*instance
	for n := range count {
		instances = append(instances, newInstance(t, n))
	}
	restart(t, instances, platformConfig{discovery: discoveries[0].addr, known: list, instances: count, discoveryMode: "push"})
	firstID := 0
	for _, c := range cases {
		t.Run(c.name(), func(t *testing.T) {
			checkRestart(t, c, instances, list, &firstID)
		})
	}
}

// checkRestart restarts all instances in one case, and checks that they become ready and serve in time.
func checkRestart(t *testing.T, c restartCase, instances []*instance, list discovery.List, firstID *int) {
	t.Helper()
	p := platformConfig{discovery: c.discovery.addr, instances: len(instances), discoveryMode: c.discoveryMode}
	maxServed := maxServeDelayFromDiscovery
	if c.known {
		p.known = list
		maxServed = maxServeDelayKnownList
	}
	spans := restart(t, instances, p)
	p90 := spans[(len(spans)*9+9)/10-1]
	t.Logf("ready after: p50 %v, p90 %v, last %v", spans[len(spans)/2], p90, spans[len(spans)-1])
	if p90 > maxReadyP90 {
		t.Errorf("nine in ten were ready after %v, want %v at most", p90, maxReadyP90)
	}
	if !c.serves() {
		return
	}
	began := time.Now()
	*firstID += len(instances)
	serveAll(t, instances, *firstID, maxServed)
	t.Logf("the last served %v later", time.Since(began).Round(time.Millisecond))
}

// restart kills all instances, starts them again at once, waits until each is ready, and returns how long that took, in
// ascending order.
func restart(t *testing.T, instances []*instance, p platformConfig) []time.Duration {
	t.Helper()
	for _, i := range instances {
		if i.process != nil { // all at once, before the wait for the first
			i.process.signal(os.Kill)
		}
	}
	for n, i := range instances {
		i.kill()
		i.configure(t, n, p)
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxReady)
	defer cancel()
	spans := make([]time.Duration, len(instances))
	var running sync.WaitGroup
	for n, i := range instances {
		running.Go(func() {
			began := time.Now()
			if err := i.start(); err != nil {
				t.Error(err)
				return
			}
			if err := i.awaitReady(ctx); err != nil {
				t.Error(err)
			}
			spans[n] = time.Since(began).Round(time.Millisecond)
		})
	}
	running.Wait()
	if t.Failed() {
		t.FailNow()
	}
	slices.Sort(spans)
	return spans
}

// serveAll has each instance serve a request within a time; one that is rejected earlier is sent again with another ID.
func serveAll(t *testing.T, instances []*instance, firstID int, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	var running sync.WaitGroup
	for n, i := range instances {
		running.Go(func() {
			for attempt := 0; ; attempt++ {
				answer, err := i.send(firstID + n + attempt<<20)
				if strings.HasPrefix(answer, "$5") {
					return
				}
				if time.Now().After(end) {
					t.Errorf("instance %s serves no request within %v: last answer %q, %v",
						i.listen, within, answer, err)
					return
				}
				time.Sleep(pingInterval)
			}
		})
	}
	running.Wait()
}
