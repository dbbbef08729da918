package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/overrun"
	"hitchspring/internal/peers"
)

// statusTimeout is what an instance may take to say what it believes; one that is stopped says nothing.
const statusTimeout = 300 * ms

// fetchStatus asks an instance for what is at a path of its metrics listener.
func fetchStatus[T any](ctx context.Context, inst *instance, path string) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.metricsAddr+path, nil)
	if err != nil {
		return v, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s: %s", inst.Name, resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, err
}

// Peers is what an instance believes of its peers; it is for the run's watcher.
func (tb *Testbed) Peers(ctx context.Context, i int) (peers.Status, error) {
	return fetchStatus[peers.Status](ctx, tb.instances[i], "/peers")
}

// Backends returns what an instance says of backends, for the watcher of the run.
func (tb *Testbed) Backends(ctx context.Context, i int) (core.BackendsStatus, error) {
	return fetchStatus[core.BackendsStatus](ctx, tb.instances[i], "/nodes")
}

// QuotaBounds returns by how much an instance may overrun quotas if it hears nothing for
// a span, for the watcher of the run.
func (tb *Testbed) QuotaBounds(ctx context.Context, i int, span time.Duration) ([]overrun.Bound, error) {
	return fetchStatus[[]overrun.Bound](ctx, tb.instances[i], "/budgets?for="+span.String())
}

// Now is the time on the clock of the records.
func (tb *Testbed) Now() time.Duration { return tb.clock() }

// Instances is how many there are.
func (tb *Testbed) Instances() int { return len(tb.instances) }

// WaitUntil waits until a time of the load. It reports false if the run ends before.
func (tb *Testbed) WaitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(tb.load.startedAt + at - tb.clock())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
