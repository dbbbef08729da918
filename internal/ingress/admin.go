package ingress

import (
	"errors"
	"fmt"
	"net"

	"hitchspring/internal/admin"
	"hitchspring/internal/front/resp"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// errNotServing answers a drain or its end while there is no front: before the
// first client and during a shutdown.
var errNotServing = errors.New("this process does not serve: it starts, or shuts down")

// adminService is an instance as its operators control it.
type adminService struct{ instance *Instance }

// Ready implements admin.Service.
func (s adminService) Ready() bool {
	front := s.instance.front.Load()
	return s.instance.prepared.Load() && !s.instance.shuttingDown.Load() && (front == nil || !front.Draining())
}

// Metrics implements admin.Service.
func (s adminService) Metrics() []byte {
	text := s.instance.core.Metrics().Text()
	for _, invariant := range guard.Invariants() {
		count := s.instance.core.Guard().Count(invariant)
		text = metrics.AppendLine(text, "invariants."+invariant.String(), count)
	}
	return text
}

// Suspend implements admin.Service.
func (s adminService) Suspend(id string) error { return s.instance.core.Suspend(policy.BackendID(id)) }

// Resume implements admin.Service.
func (s adminService) Resume(id string) error { return s.instance.core.Resume(policy.BackendID(id)) }

// Drain implements admin.Service.
func (s adminService) Drain() error { return s.whileServing((*resp.Front).StartDrain) }

// Activate implements admin.Service.
func (s adminService) Activate() error { return s.whileServing((*resp.Front).StopDrain) }

// whileServing calls a method of the clients' front, if there is one in use.
func (s adminService) whileServing(call func(*resp.Front)) error {
	front := s.instance.front.Load()
	if front == nil || s.instance.shuttingDown.Load() {
		return errNotServing
	}
	call(front)
	return nil
}

// serveAdmin serves operators' calls until end is called, if the configuration has
// an address for them.
func (i *Instance) serveAdmin() (end func(), err error) {
	if i.config.Admin == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", i.config.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	i.admin.Store(listener.Addr().(*net.TCPAddr))
	return admin.Serve(listener, adminService{i}, i.log).Close, nil
}

// AdminAddr is the address of the admin server; nil while it is not open.
func (i *Instance) AdminAddr() net.Addr {
	if addr := i.admin.Load(); addr != nil {
		return addr
	}
	return nil
}
