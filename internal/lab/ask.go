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

// askTime is what an instance may take to say what it believes; one that is stopped says nothing.
const askTime = 300 * ms

// get asks an instance for what is at a path of its metrics listener.
func get[T any](ctx context.Context, g *ingress, path string) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.metrics+path, nil)
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
		return v, fmt.Errorf("%s: %s", g.Name, resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, err
}

// Peers is what an instance believes of its peers; it is for the run's watcher.
func (w *Testbed) Peers(ctx context.Context, i int) (peers.Status, error) {
	return get[peers.Status](ctx, w.ingresses[i], "/peers")
}

// Backends returns what an instance says of backends, for the watcher of the run.
func (w *Testbed) Backends(ctx context.Context, i int) (core.BackendsStatus, error) {
	return get[core.BackendsStatus](ctx, w.ingresses[i], "/nodes")
}

// QuotaBounds returns by how much an instance may overrun quotas if it hears nothing for
// a span, for the watcher of the run.
func (w *Testbed) QuotaBounds(ctx context.Context, i int, span time.Duration) ([]overrun.Bound, error) {
	return get[[]overrun.Bound](ctx, w.ingresses[i], "/budgets?for="+span.String())
}

// Now is the time on the clock of the records.
func (w *Testbed) Now() time.Duration { return w.clock() }

// Instances is how many there are.
func (w *Testbed) Instances() int { return len(w.ingresses) }

// WaitUntil waits until a time of the load. It reports false if the run ends before.
func (w *Testbed) WaitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(w.load.began + at - w.clock())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
