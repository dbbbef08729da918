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
type adminService struct{ instance *Instance }

// Serving, Figures, Suspend, Resume, Leave and Return are admin.Service's.
func (s adminService) Ready() bool {
	f := s.instance.front.Load()
	return s.instance.prepared.Load() && !s.instance.shuttingDown.Load() && (f == nil || !f.Draining())
}

func (s adminService) Metrics() []byte {
	text := s.instance.core.Metrics().Text()
	for _, i := range guard.Invariants() {
		text = metrics.AppendLine(text, "invariants."+i.String(), s.instance.core.Guard().Count(i))
	}
	return text
}

func (s adminService) Suspend(id string) error { return s.instance.core.Suspend(policy.BackendID(id)) }

func (s adminService) Resume(id string) error { return s.instance.core.Resume(policy.BackendID(id)) }

func (s adminService) Drain() error { return s.whileServing((*resp.Front).StartDrain) }

func (s adminService) Activate() error { return s.whileServing((*resp.Front).StopDrain) }

// whileServing does something to the front; before the first client, and during a shutdown, there is nothing to do it to.
func (s adminService) whileServing(call func(*resp.Front)) error {
	f := s.instance.front.Load()
	if f == nil || s.instance.shuttingDown.Load() {
		return errors.New("this process does not serve: it starts, or shuts down")
	}
	call(f)
	return nil
}

// AdminAddr is where operators call; nil while the door is not open.
func (i *Instance) AdminAddr() net.Addr {
	if a := i.admin.Load(); a != nil {
		return a
	}
	return nil
}
