package ingress

import (
	"errors"
	"net"

	"hitchspring/internal/front/resp"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// door is the ingress as its operators see it.
type door struct{ g *Instance }

// Serving, Figures, Suspend, Resume, Leave and Return are admin.Service's.
func (d door) Ready() bool {
	f := d.g.front.Load()
	return d.g.prepared.Load() && !d.g.over.Load() && (f == nil || !f.Draining())
}

func (d door) Metrics() []byte {
	text := d.g.core.Metrics().Text()
	for _, i := range guard.Invariants() {
		text = metrics.AppendLine(text, "invariants."+i.String(), d.g.core.Guard().Count(i))
	}
	return text
}

func (d door) Suspend(id string) error { return d.g.core.Suspend(policy.BackendID(id)) }

func (d door) Resume(id string) error { return d.g.core.Resume(policy.BackendID(id)) }

func (d door) Drain() error { return d.whileServing((*resp.Front).StartDrain) }

func (d door) Activate() error { return d.whileServing((*resp.Front).StopDrain) }

// whileServing does something to the front; before the first client, and during a shutdown, there is nothing to do it to.
func (d door) whileServing(do func(*resp.Front)) error {
	f := d.g.front.Load()
	if f == nil || d.g.over.Load() {
		return errors.New("this process does not serve: it starts, or shuts down")
	}
	do(f)
	return nil
}

// AdminAddr is where operators call; nil while the door is not open.
func (g *Instance) AdminAddr() net.Addr {
	if a := g.admin.Load(); a != nil {
		return a
	}
	return nil
}
