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
	restartedInstances = 24 // killed and restarted at the same time
	trialInstances     = 40 // the number with HITCHSPRING_TRIALS=1

	maxReadyP90                = 10 * time.Second // for 90% of the restarted instances
	maxReady                   = 30 * time.Second // for every restarted instance
	maxServeDelayKnownList     = time.Second      // for a ready instance with an initial endpoint list
	maxServeDelayFromDiscovery = 15 * time.Second // for a ready instance that gets its list from discovery
)

// restartCase is one combination of discovery mode, configuration and discovery behavior at a restart.
type restartCase struct {
	discoveryMode string // as in platformConfig
	known         bool   // the configuration contains an endpoint list
	discovery     namedDiscovery
}

// namedDiscovery is a discovery stand-in.
type namedDiscovery struct {
	name, addr   string
	providesList bool // it answers with the endpoint list, possibly slowly
}

// name returns the name of the subtest.
func (c restartCase) name() string {
	if c.known {
		return fmt.Sprintf("%s/known list/%s", c.discoveryMode, c.discovery.name)
	}
	return fmt.Sprintf("%s/no list/%s", c.discoveryMode, c.discovery.name)
}

// serves reports whether the instances can serve, because they have an endpoint list or can get one. In push mode an
// instance waits 1 s for the list, so it gets none from slow discovery.
func (c restartCase) serves() bool {
	slowPush := c.discovery.name == "slow" && c.discoveryMode == "push"
	return c.known || c.discovery.providesList && !slowPush
}

// All instances are killed and restarted at the same time. Whatever the state of discovery, 90% of them answer PING
// within 10 s and all within 30 s. Those that have an endpoint list, or can get one, then serve requests in time.
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
	restart(t, instances, platformConfig{
		discovery:     discoveries[0].addr,
		known:         list,
		instances:     count,
		discoveryMode: "push",
	})
	firstID := 0
	for _, c := range cases {
		t.Run(c.name(), func(t *testing.T) {
			checkRestart(t, c, instances, list, &firstID)
		})
	}
}

// checkRestart restarts all instances in one case and checks that they become ready and serve in time.
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
	t.Logf("ready after: p50 %v, p90 %v, max %v", spans[len(spans)/2], p90, spans[len(spans)-1])
	if p90 > maxReadyP90 {
		t.Errorf("p90 of the time until ready: got %v, want %v at most", p90, maxReadyP90)
	}
	if !c.serves() {
		return
	}
	began := time.Now()
	*firstID += len(instances)
	serveAll(t, instances, *firstID, maxServed)
	t.Logf("the last instance served %v later", time.Since(began).Round(time.Millisecond))
}

// restart kills all instances, starts them again concurrently and waits until all are ready. It returns the time that
// each took, in ascending order.
func restart(t *testing.T, instances []*instance, p platformConfig) []time.Duration {
	t.Helper()
	for _, i := range instances {
		if i.process != nil { // signal all before waiting for any
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

// serveAll checks that each instance serves a request in time. Until then, a request that is not served is sent again
// with a new ID.
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
