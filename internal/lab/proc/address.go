package proc

import (
	"fmt"
	"net/netip"
	"syscall"
)

// ReservedAddress is a TCP address that the kernel does not assign to other processes as an ephemeral port. A socket
// is bound to it but does not listen. Since both sides set SO_REUSEADDR, as Go's listeners do, the process that the
// address is reserved for can still bind it, on every start.
type ReservedAddress struct {
	addr string
	fd   int // of the bound socket; -1 after Release
}

// ReserveAddress reserves a free TCP port on host, a loopback IPv4 address, until Release.
func ReserveAddress(host string) (*ReservedAddress, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, fmt.Errorf("reserving an address: %q is not an IPv4 address", host)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserving an address: %w", err)
	}
	reserved := &ReservedAddress{fd: fd}
	if err := reserved.bind(host, ip); err != nil {
		reserved.Release()
		return nil, err
	}
	return reserved, nil
}

// bind binds the socket to a free port of the host.
func (r *ReservedAddress) bind(host string, ip netip.Addr) error {
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("reserving an address: %w", err)
	}
	if err := syscall.Bind(r.fd, &syscall.SockaddrInet4{Addr: ip.As4()}); err != nil {
		return fmt.Errorf("reserving an address on %s: %w", host, err)
	}
	bound, err := syscall.Getsockname(r.fd)
	if err != nil {
		return fmt.Errorf("reserving an address: %w", err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	r.addr = netip.AddrPortFrom(ip, uint16(port)).String()
	return nil
}

// Addr returns the address as host:port.
func (r *ReservedAddress) Addr() string { return r.addr }

// Release frees the address. Further calls do nothing.
func (r *ReservedAddress) Release() {
	if r.fd >= 0 {
		_ = syscall.Close(r.fd) // nothing was written, so no data can be lost
		r.fd = -1
	}
}
