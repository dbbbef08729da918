// Package socket queries the kernel for the state of a connection without reading
// from it: whether data has arrived and when, whether the peer has closed the
// connection, and how many written bytes the peer has not acknowledged. It is
// independent of the protocol, and none of its functions blocks.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Unknown is returned by Unsent if the kernel does not provide the number.
const Unknown = -1

// Peek reports whether unread bytes have arrived on a connection, and whether its
// peer has closed it. A close that follows unread bytes is not detected; see
// HungUp. Both are false for a connection without a file descriptor.
func Peek(conn net.Conn) (arrived, ended bool) {
	var b [1]byte
	control(conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != nil {
			ended = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
			return
		}
		arrived = n > 0
		ended = n == 0
	})
	return arrived, ended
}

// HungUp reports whether the peer has closed a connection, even if unread bytes
// precede the close, or this process has closed it. It is false for a connection
// without a file descriptor.
func HungUp(conn net.Conn) bool {
	ended := false
	state := control(conn, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || state == closed
}

// UnackedBytes returns the number of bytes that were written to a connection and not
// yet acknowledged by its peer, or Unknown.
func UnackedBytes(conn net.Conn) int {
	unsent := Unknown
	control(conn, func(fd int) {
		queued := int32(0)
		_, _, errno := syscall.Syscall(
			syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
		if errno == 0 {
			unsent = int(queued)
		}
	})
	return unsent
}

// memoryInfoFields is the number of 32-bit fields of SO_MEMINFO, of which the first is the
// memory in use for received data, and the second the size of the receive buffer.
const memoryInfoFields = 9

// HalfFull reports whether unread data takes half of the memory of a connection's receive
// buffer or more. Until then the kernel accepts more from the peer, so that a close by
// the peer has arrived once the peer's data has. It is false if the kernel does not tell.
func HalfFull(conn net.Conn) bool {
	halfFull := false
	control(conn, func(fd int) {
		var info [memoryInfoFields]uint32
		size := uint32(unsafe.Sizeof(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		used, capacity := info[0], info[1]
		halfFull = errno == 0 && capacity > 0 && used >= capacity/2
	})
	return halfFull
}

// SinceReceived returns the time since data last arrived on a connection, whether
// or not it was read. It is 0 if the kernel does not provide it.
func SinceReceived(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// SinceFirstReceived returns an upper bound on the time since the first bytes
// arrived on an accepted connection on which nothing was sent yet. The bound is
// exact if all data arrived in one segment; otherwise it is the time since the
// connection was established. It is 0 if the kernel does not provide it.
func SinceFirstReceived(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	since := info.Last_data_recv
	if info.Data_segs_in > 1 {
		since = max(since, info.Last_data_sent) // nothing was sent: counts from the establishment
	}
	return time.Duration(since) * time.Millisecond
}

// tcpInfo returns the kernel's TCP_INFO of a connection, or the zero value if it
// is not available.
func tcpInfo(conn net.Conn) unix.TCPInfo {
	var known unix.TCPInfo
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			known = *info
		}
	})
	return known
}

// CloseWrite closes the sending side of a connection, if its type supports that.
func CloseWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only on a connection that is closed
	}
}

// descriptorState is the result of a call on a connection's file descriptor.
type descriptorState uint8

const (
	absent descriptorState = iota // the connection has no file descriptor
	used
	closed // this process has closed the connection
)

// control calls do with the file descriptor of a connection, if it has an open one.
func control(conn net.Conn, do func(fd int)) descriptorState {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return absent
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return closed
	}
	if err := raw.Control(func(fd uintptr) { do(int(fd)) }); err != nil {
		return closed
	}
	return used
}
