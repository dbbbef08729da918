package discovery

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// agentCallInterval is the interval at which calls to an agent begin while the earlier ones have no response. An agent
// that is reachable for a moment between two silences is thus heard, although a call that began in the first silence
// gets no response.
const agentCallInterval = 400 * time.Millisecond

// openWatch opens a watch and returns the body of the response. A local agent is called again every agentCallInterval,
// at no cost to discovery, and the first response counts. Discovery itself is called once.
func (w *Watcher) openWatch(ctx context.Context) (io.ReadCloser, error) {
	url := fmt.Sprintf("%s?follow=1&since=%d", w.url, w.rev)
	if w.instances > 1 {
		return w.get(ctx, url)
	}
	calls := agentCalls{watcher: w, url: url, responses: make(chan agentResponse), ended: make(chan struct{})}
	defer calls.end()
	calls.begin(ctx)
	next := time.NewTicker(agentCallInterval)
	defer next.Stop()
	for {
		select {
		case response := <-calls.responses:
			calls.cancelAllBut(response.call)
			return response.body, response.err
		case <-next.C:
			calls.begin(ctx)
		}
	}
}

// agentResponse is the result of one call to an agent.
type agentResponse struct {
	call int // its index
	body io.ReadCloser
	err  error
}

// agentCalls are the calls to an agent of which one is to be used. Each has a goroutine, which ends before end returns.
type agentCalls struct {
	watcher   *Watcher
	url       string
	cancels   []context.CancelFunc // by index of the call
	responses chan agentResponse
	ended     chan struct{} // closed once no more responses are wanted
	running   sync.WaitGroup
}

// begin starts another call. The call, and the body of its response, end with ctx at the latest.
func (c *agentCalls) begin(ctx context.Context) {
	call := len(c.cancels)
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	c.running.Go(func() {
		body, err := c.watcher.get(ctx, c.url)
		select {
		case c.responses <- agentResponse{call, body, err}:
		case <-c.ended:
			if err == nil {
				body.Close()
			}
		}
	})
}

func (c *agentCalls) cancelAllBut(used int) {
	for call, cancel := range c.cancels {
		if call != used {
			cancel()
		}
	}
}

// end waits for the goroutines of the calls that are not used. They must have been canceled.
func (c *agentCalls) end() {
	close(c.ended)
	c.running.Wait()
}
