package proc

import (
	"fmt"
	"net/netip"
	"syscall"
)

// Held is an address that nobody else can have: a socket is bound to it from the draw on, and listens to nothing, so that
// the process whose address it is can bind it too (both set SO_REUSEADDR, as Go's listeners do), as often as it is started.
type HeldAddress struct {
	addr string
	fd   int
}

// Hold draws a free TCP port of a loopback host and holds it until Release.
func HoldAddress(host string) (*HeldAddress, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, fmt.Errorf("holding an address: %q is no IPv4 address", host)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("holding an address: %w", err)
	}
	h := &HeldAddress{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		h.Release()
		return nil, fmt.Errorf("holding an address: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: ip.As4()}); err != nil {
		h.Release()
		return nil, fmt.Errorf("holding an address of %s: %w", host, err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		h.Release()
		return nil, fmt.Errorf("holding an address: %w", err)
	}
	h.addr = netip.AddrPortFrom(ip, uint16(sa.(*syscall.SockaddrInet4).Port)).String()
	return h, nil
}

// Addr is the address, as host:port.
func (h *HeldAddress) Addr() string { return h.addr }

// Release lets others have the address.
func (h *HeldAddress) Release() {
	if h.fd >= 0 {
		syscall.Close(h.fd)
		h.fd = -1
	}
}
