// Package gate is a stand-in for an HTTP gateway that asks the ingress about each request of a client, sends the
// request to the backend that it is granted, and reports the outcome. It does what the operators' page asks of such a
// gateway and, by a fault script, what the page forbids. Do takes a request from a test; ServeHTTP takes one over
// HTTP. Nothing is retried beyond what the ingress grants.
//
// The kinds of a fault rule do this here, where calls are known by their class; all others do nothing:
//
//	drop-before  hangs up before the answer to its first call, and asks again
//	drop-after   dies after the grant: sends nothing, reports nothing
//	ignore       the same, and answers its client as if the request was rejected
//	delay D      waits between grant and sending; past the time for it, it sends nothing and reports unsent
//	swallow      never reports
//	repeat       reports twice
//	late D       reports so much later
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hitchspring/internal/standin/fault"
)

// The kinds of a Result, and with unsent the outcomes of an attempt in a report.
const (
	served  = "served"
	refused = "refused" // the request was rejected and took no effect
	failed  = "failed"  // it is unknown whether the request took effect
	unsent  = "unsent"  // the attempt was granted and never sent
)

// hangUpTimeout is how long a call lasts under drop-before.
const hangUpTimeout = 2 * time.Millisecond

// Request is one request of a client.
type Request struct {
	ID      string
	Channel string
	Class   string
	Plan    string
	// Key is the idempotency key; empty if the request has none.
	Key   string
	Units float64
	// Spread and First describe the set of backends that may serve the request.
	Spread int
	First  int
	// Wait is how long the client waits.
	Wait time.Duration
}

// Result is what the client is told.
type Result struct {
	// Kind is served, refused or failed.
	Kind string
	// Value is the backend's reply, if served.
	Value string
	// After is the time after which the client may retry, if refused.
	After time.Duration
}

// Gate sends requests on as one ingress grants. It is safe for concurrent use. It runs a goroutine for each report
// that a fault delays; Close ends them and closes all connections.
type Gate struct {
	base      string // URL of the ingress
	client    *http.Client
	transport *http.Transport
	faults    *fault.Script
	start     time.Time
	wg        sync.WaitGroup
	ctx       context.Context // done when the gate is closed
	stop      context.CancelFunc

	mu   sync.Mutex // guards idle
	idle map[string][]*backendConn
}

// New returns a gate that asks the ingress at addr, a host and port. The seed is that of the fault script.
func New(addr string, seed uint64) *Gate {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		MaxConnsPerHost:     512,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Gate{
		base:      "http://" + addr,
		client:    &http.Client{Transport: transport},
		transport: transport,
		faults:    fault.New(seed),
		start:     time.Now(),
		ctx:       ctx,
		stop:      stop,
		idle:      map[string][]*backendConn{},
	}
}

// Fault puts a rule in force from now on.
func (g *Gate) Fault(rule fault.Rule) { g.faults.Add(time.Since(g.start), rule) }

// Close drops the reports that a fault delays, and closes all connections.
func (g *Gate) Close() {
	g.stop()
	g.wg.Wait()
	g.transport.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conns := range g.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	g.idle = map[string][]*backendConn{}
}

// Do carries one request through: it asks the ingress, sends to the backend that it is granted, reports, and goes on
// with further grants until the request is served or the ingress rejects it.
func (g *Gate) Do(ctx context.Context, request Request) (result Result) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	rule, _, _ := g.faults.Next(time.Since(g.start), request.Class, "")
	if rule.Kind == fault.DropBefore {
		short, cancel := context.WithTimeout(ctx, hangUpTimeout)
		g.requestGrant(short, request, &result)
		cancel()
	}
	granted, done := g.requestGrant(ctx, request, &result)
	mayHaveRun := false // an earlier attempt
	for !done {
		switch rule.Kind {
		case fault.DropAfter:
			result.Kind = failed
			return result
		case fault.Ignore:
			result.Kind = refused
			return result
		case fault.Delay:
			sleep(ctx, rule.By)
		default: // the other kinds act on calls and reports
		}
		if time.Now().After(granted.startBy) {
			g.report(ctx, granted.lease, unsent, rule)
			result.Kind = refused
			if mayHaveRun {
				result.Kind = failed
			}
			return result
		}
		value, outcome := g.send(ctx, granted.addr, request)
		if outcome == served {
			g.report(ctx, granted.lease, outcome, rule)
			result.Kind, result.Value = served, value
			return result
		}
		mayHaveRun = mayHaveRun || outcome == failed
		if ctx.Err() != nil {
			g.report(g.ctx, granted.lease, outcome, rule)
			result.Kind = failed
			return result
		}
		next, ok := g.report(ctx, granted.lease, outcome, rule)
		if ok {
			granted = next
			continue
		}
		granted, done = g.requestGrant(ctx, request, &result) // the ingress may not have decided yet
	}
	return result
}

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
