// Package gate is a stand-in for an HTTP gateway that uses the ingress's forward authentication: for each client
// request it requests a grant from the ingress, sends the request to the granted backend, and reports the outcome. It
// follows the documented rules for such gateways, and breaks them on purpose under a fault script. Do handles a request
// of a test, ServeHTTP a request over HTTP. The gate makes no attempts beyond those that the ingress grants.
//
// Fault rules match requests by class. These kinds have an effect:
//
//	drop-before  cancel the first call before its answer arrives, and call again
//	drop-after   stop after the grant: neither send the request nor report
//	ignore       like drop-after, but tell the client that the request was rejected
//	delay D      wait for D before sending; if the attempt's start limit has passed by then, report it as unsent
//	swallow      do not report
//	repeat       report twice
//	late D       report after a delay of D
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hitchspring/internal/standin/fault"
)

// The kinds of a Result and, together with outcomeUnsent, the outcomes of an attempt in a report.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused" // the request was rejected and took no effect
	outcomeFailed  = "failed"  // it is unknown whether the request took effect
	outcomeUnsent  = "unsent"  // the attempt was granted but not sent
)

// cancelTimeout is the time after which the fault drop-before cancels a call.
const cancelTimeout = 2 * time.Millisecond

// Request is a client request.
type Request struct {
	ID      string
	Channel string
	Class   string
	Plan    string
	// Key is the idempotency key; empty if the request has none.
	Key   string
	Units float64
	// Spread and First select the set of backends that may serve the request.
	Spread int
	First  int
	// Wait is how long the client waits for a result.
	Wait time.Duration
}

// Result is the result of a request, as returned to the client.
type Result struct {
	// Kind is served, refused or failed.
	Kind string
	// Value is the backend's reply; set if Kind is served.
	Value string
	// RetryAfter is the time after which the client may retry; set if Kind is refused.
	RetryAfter time.Duration
}

// Gate forwards requests to backends as one ingress grants. It is safe for concurrent use. It runs one goroutine per
// report that a fault delays. Close stops them and closes all connections.
type Gate struct {
	baseURL   string // URL of the ingress
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

// New returns a gate for the ingress at addr, a host and port. The seed is used for the fault script's probabilities.
func New(addr string, seed uint64) *Gate {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		MaxConnsPerHost:     512,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Gate{
		baseURL:   "http://" + addr,
		client:    &http.Client{Transport: transport},
		transport: transport,
		faults:    fault.New(seed),
		start:     time.Now(),
		ctx:       ctx,
		stop:      stop,
		idle:      map[string][]*backendConn{},
	}
}

// Fault adds a fault rule that applies from now on.
func (g *Gate) Fault(rule fault.Rule) { g.faults.Add(time.Since(g.start), rule) }

// Close discards delayed reports and closes all connections.
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

// Do handles one request: it requests a grant, sends the request to the granted backend, reports the outcome, and
// continues with further grants until the request is served, its time is over, or the ingress grants nothing more.
func (g *Gate) Do(ctx context.Context, request Request) (result Result) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	rule, _, _ := g.faults.Next(time.Since(g.start), request.Class, "")
	if rule.Kind == fault.DropBefore {
		short, cancel := context.WithTimeout(ctx, cancelTimeout)
		g.requestGrant(short, request, &result)
		cancel()
	}
	granted, done := g.requestGrant(ctx, request, &result)
	mayHaveRun := false // whether an earlier attempt may have taken effect
	for !done {
		switch rule.Kind {
		case fault.DropAfter:
			result.Kind = outcomeFailed
			return result
		case fault.Ignore:
			result.Kind = outcomeRefused
			return result
		case fault.Delay:
			sleep(ctx, rule.DelayTime)
		default: // the other kinds affect calls to the ingress only
		}
		if time.Now().After(granted.startBy) {
			g.report(ctx, granted.lease, outcomeUnsent, rule)
			result.Kind = outcomeRefused
			if mayHaveRun {
				result.Kind = outcomeFailed
			}
			return result
		}
		value, outcome := g.send(ctx, granted.addr, request)
		if outcome == outcomeServed {
			g.report(ctx, granted.lease, outcome, rule)
			result.Kind, result.Value = outcomeServed, value
			return result
		}
		mayHaveRun = mayHaveRun || outcome == outcomeFailed
		if ctx.Err() != nil {
			g.report(g.ctx, granted.lease, outcome, rule)
			result.Kind = outcomeFailed
			return result
		}
		next, ok := g.report(ctx, granted.lease, outcome, rule)
		if ok {
			granted = next
			continue
		}
		granted, done = g.requestGrant(ctx, request, &result) // the ingress may still grant another attempt
	}
	return result
}

// sleep waits for d, or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
