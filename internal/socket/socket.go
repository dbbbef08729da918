// Package socket queries the kernel about a connection without reading from it. It
// takes a net.Conn, and reports whether bytes or the peer's end have arrived, how
// long ago, and how many written bytes the peer has not acknowledged. It knows no
// protocol, and none of its calls blocks.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Unknown is what Unsent returns if the kernel does not know.
const Unknown = -1

// Peek reports whether unread bytes have arrived on a connection, and whether its
// peer has ended it. An end behind unread bytes is not seen; see HungUp. Both are
// false for a connection without a file descriptor.
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

// HungUp reports whether the peer has ended a connection, even behind unread
// bytes, or this process has closed it. It is false for a connection without a
// file descriptor.
func HungUp(conn net.Conn) bool {
	ended := false
	state := control(conn, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || state == closed
}

// Unsent returns how many bytes that were written to a connection its peer has
// not acknowledged, or Unknown.
func Unsent(conn net.Conn) int {
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

// SinceReceived returns the time since the last bytes arrived on a connection, read
// or not. It is 0 if the kernel does not know.
func SinceReceived(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// SinceFirstReceived returns an upper bound of the time since the first bytes
// arrived on an accepted connection that nothing was sent on yet. If they came in
// one segment it is exact; else they may have come as soon as the connection was
// established. It is 0 if the kernel does not know.
func SinceFirstReceived(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	since := info.Last_data_recv
	if info.Data_segs_in > 1 {
		since = max(since, info.Last_data_sent) // counts from when it was established
	}
	return time.Duration(since) * time.Millisecond
}

// tcpInfo returns what the kernel knows of a connection; all is 0 if it knows
// nothing.
func tcpInfo(conn net.Conn) unix.TCPInfo {
	var known unix.TCPInfo
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			known = *info
		}
	})
	return known
}

// CloseWrite ends the sending side of a connection, if connections of its kind
// can do that.
func CloseWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only on a connection that has ended
	}
}

// descriptorState says what became of an attempt to use a connection's file
// descriptor.
type descriptorState uint8

const (
	absent descriptorState = iota // the connection has none
	used
	closed // this process has closed the connection
)

// control calls do with the file descriptor of a connection.
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
