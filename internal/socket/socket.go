// Package socket asks the kernel about a connection without reading from it. In: a net.Conn. Out: whether bytes or the peer's end
// have come, and how much of what was written the peer has not taken. It knows no protocol, and none of its calls waits.
package socket

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Unknown is what Unsent returns where the kernel can't tell.
const Unknown = -1

// Peek reports whether bytes have come on a connection that were not read, and whether its peer has ended it, as far as that shows
// in front of unread bytes. Both are false for a connection without a descriptor.
func Peek(nc net.Conn) (came, gone bool) {
	var b [1]byte
	control(nc, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		came = err == nil && n > 0
		gone = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return came, gone
}

// HungUp reports whether the peer has ended a connection or this process has closed it, also where bytes that came before are not
// read. It is false for a connection without a descriptor.
func HungUp(nc net.Conn) (gone bool) {
	open := control(nc, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		gone = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || open == closed
}

// Unsent is how many bytes of what was written to a connection its peer has not taken, or Unknown.
func Unsent(nc net.Conn) int {
	n, failed := int32(0), true
	control(nc, func(fd int) {
		_, _, e := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
		failed = e != 0
	})
	if failed {
		return Unknown
	}
	return int(n)
}

// SinceData is how long ago the last bytes of a connection came, read or not; 0 where the kernel can't tell.
func SinceData(nc net.Conn) (since time.Duration) {
	control(nc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// CloseWrite ends this side of a connection, where its kind can.
func CloseWrite(nc net.Conn) {
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// descriptor says what became of the attempt to use a connection's descriptor.
type descriptor uint8

const (
	none   descriptor = iota // the connection has none
	used                     // it was used
	closed                   // this process has closed the connection
)

// control does something with the descriptor of a connection.
func control(nc net.Conn, do func(fd int)) descriptor {
	s, ok := nc.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := s.SyscallConn()
	if err != nil || raw.Control(func(fd uintptr) { do(int(fd)) }) != nil {
		return closed
	}
	return used
}
