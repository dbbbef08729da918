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

// statusTimeout bounds a status request: a stopped process accepts connections but never answers.
const statusTimeout = 300 * ms

// fetchStatus requests a path of an instance's metrics listener and decodes the JSON response.
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

// Peers returns an instance's view of its peers, for use by Config.Watch.
func (tb *Testbed) Peers(ctx context.Context, i int) (peers.Status, error) {
	return fetchStatus[peers.Status](ctx, tb.instances[i], "/peers")
}

// Backends returns an instance's view of the backends, for use by Config.Watch.
func (tb *Testbed) Backends(ctx context.Context, i int) (core.BackendsStatus, error) {
	return fetchStatus[core.BackendsStatus](ctx, tb.instances[i], "/nodes")
}

// QuotaBounds returns the overrun bounds that an instance reports for a disconnection of
// the given span, for use by Config.Watch.
func (tb *Testbed) QuotaBounds(ctx context.Context, i int, span time.Duration) ([]overrun.Bound, error) {
	return fetchStatus[[]overrun.Bound](ctx, tb.instances[i], "/budgets?for="+span.String())
}

// Now returns the time since the testbed was created, the clock of all records.
func (tb *Testbed) Now() time.Duration { return tb.clock() }

// Instances returns the number of instances.
func (tb *Testbed) Instances() int { return len(tb.instances) }

// WaitUntil waits until a time after the start of the load. It returns false if the run ends before.
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
