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

// errNotServing is returned for a drain or activate call while the instance does
// not accept clients yet, or shuts down.
var errNotServing = errors.New("this process does not serve: it starts, or shuts down")

// adminService implements the operators' calls on an instance.
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
func (s adminService) Drain() error { return s.callFront((*resp.Front).StartDrain) }

// Activate implements admin.Service.
func (s adminService) Activate() error { return s.callFront((*resp.Front).StopDrain) }

// callFront calls a method of the front for clients. It returns errNotServing if
// the front has not started or is shutting down.
func (s adminService) callFront(call func(*resp.Front)) error {
	front := s.instance.front.Load()
	if front == nil || s.instance.shuttingDown.Load() {
		return errNotServing
	}
	call(front)
	return nil
}

// serveAdmin runs the admin server until end is called, if the configuration has
// an address for it.
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

// AdminAddr returns the address of the admin server, or nil until it listens.
func (i *Instance) AdminAddr() net.Addr {
	if addr := i.admin.Load(); addr != nil {
		return addr
	}
	return nil
}
