package peers

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"
)

// A host answers a datagram to a port without a listener with the ICMP error "port
// unreachable" (RFC 1122, 4.1.3.1), called a refusal here. With the socket option
// IP_RECVERR, Linux queues these errors for the socket together with the
// destination address of the datagram (ip(7)).
const (
	msgErrQueue        = 0x2000 // MSG_ERRQUEUE
	originICMP         = 2      // SO_EE_ORIGIN_ICMP
	maxRefusalsPerRead = 64

	// Layout of struct sock_extended_err: ee_errno, 4 bytes in native byte order,
	// then ee_origin, 1 byte.
	extendedErrOrigin = 4
	extendedErrBytes  = 5
)

// enableRefusals makes the kernel queue refusals for a socket.
func enableRefusals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_RECVERR, 1)
	})
	if err != nil {
		return err
	}
	return setErr
}

// readRefusals returns the addresses that refused datagrams since the previous
// call. It does not block.
func readRefusals(conn *net.UDPConn) []netip.AddrPort {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	var refused []netip.AddrPort
	// Control fails only on a closed socket, which has no error queue.
	_ = raw.Control(func(fd uintptr) { refused = drainErrorQueue(int(fd)) })
	return refused
}

func drainErrorQueue(fd int) []netip.AddrPort {
	var refused []netip.AddrPort
	var data [1]byte
	var control [256]byte
	for range maxRefusalsPerRead {
		_, n, _, sentTo, err := syscall.Recvmsg(fd, data[:], control[:], msgErrQueue|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return refused
		}
		if to, ok := sentTo.(*syscall.SockaddrInet4); ok && isPortUnreachable(control[:n]) {
			refused = append(refused, netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)))
		}
	}
	return refused
}

// isPortUnreachable reports whether control messages hold an ICMP "port
// unreachable".
func isPortUnreachable(control []byte) bool {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return false
	}
	for _, m := range messages {
		isExtendedErr := m.Header.Level == syscall.IPPROTO_IP && m.Header.Type == syscall.IP_RECVERR
		if !isExtendedErr || len(m.Data) < extendedErrBytes {
			continue
		}
		errno := syscall.Errno(binary.NativeEndian.Uint32(m.Data))
		if errno == syscall.ECONNREFUSED && m.Data[extendedErrOrigin] == originICMP {
			return true
		}
	}
	return false
}
