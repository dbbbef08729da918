package peers

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"
)

// What a host that is there says of a port that is not (RFC 1122, 4.1.3.1): ICMP's "port unreachable". Linux keeps such messages for a socket that
// asks for them, with the address that the datagram went to (ip(7), IP_RECVERR).
const (
	msgErrQueue        = 0x2000 // MSG_ERRQUEUE
	originICMP         = 2      // SO_EE_ORIGIN_ICMP
	maxRefusalsPerRead = 64     // that are read at a time
)

// wantRefusals asks for what hosts turn back. Where the system knows no such thing, silence alone tells of a death.
func enableRefusals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_RECVERR, 1) }); err != nil {
		return err
	}
	return set
}

// refusals reads to which addresses datagrams were turned back since it was last called. It does not wait.
func readRefusals(conn *net.UDPConn) (out []netip.AddrPort) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) {
		var p [1]byte
		var oob [256]byte
		for range maxRefusalsPerRead {
			_, n, _, from, err := syscall.Recvmsg(int(fd), p[:], oob[:], msgErrQueue|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				return
			}
			if to, ok := from.(*syscall.SockaddrInet4); ok && isPortUnreachable(oob[:n]) {
				out = append(out, netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port)))
			}
		}
	})
	return out
}

// turnedBack says whether a control message is that of a host that refuses: struct sock_extended_err, an error number and where it comes from.
func isPortUnreachable(oob []byte) bool {
	list, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return false
	}
	for _, m := range list {
		if m.Header.Level == syscall.IPPROTO_IP && m.Header.Type == syscall.IP_RECVERR && len(m.Data) >= 5 &&
			syscall.Errno(binary.NativeEndian.Uint32(m.Data)) == syscall.ECONNREFUSED && m.Data[4] == originICMP {
			return true
		}
	}
	return false
}
