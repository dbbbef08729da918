package proc

import (
	"fmt"
	"net/netip"
	"syscall"
)

// ReservedAddress is a TCP address that no other process can draw. A socket is bound to it and does not listen, so
// that the process whose address it is can bind it too, as often as it is started (both set SO_REUSEADDR, as Go's
// listeners do).
type ReservedAddress struct {
	addr string
	fd   int // of the socket; -1 once it was released
}

// ReserveAddress draws a free TCP port of a loopback host, an IPv4 address, and reserves it until Release.
func ReserveAddress(host string) (*ReservedAddress, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, fmt.Errorf("holding an address: %q is no IPv4 address", host)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("holding an address: %w", err)
	}
	reserved := &ReservedAddress{fd: fd}
	if err := reserved.bind(host, ip); err != nil {
		reserved.Release()
		return nil, err
	}
	return reserved, nil
}

// bind binds the socket to a free port of the host.
func (h *ReservedAddress) bind(host string, ip netip.Addr) error {
	if err := syscall.SetsockoptInt(h.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("holding an address: %w", err)
	}
	if err := syscall.Bind(h.fd, &syscall.SockaddrInet4{Addr: ip.As4()}); err != nil {
		return fmt.Errorf("holding an address of %s: %w", host, err)
	}
	bound, err := syscall.Getsockname(h.fd)
	if err != nil {
		return fmt.Errorf("holding an address: %w", err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	h.addr = netip.AddrPortFrom(ip, uint16(port)).String()
	return nil
}

// Addr returns the address as host:port.
func (h *ReservedAddress) Addr() string { return h.addr }

// Release gives the address up. A second call does nothing.
func (h *ReservedAddress) Release() {
	if h.fd >= 0 {
		_ = syscall.Close(h.fd) // nothing was written to it
		h.fd = -1
	}
}
