package link

import (
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxDatagram is the largest datagram that is forwarded, in bytes.
const maxDatagram = 64 << 10

// AddUDPLink adds a one-way link for datagrams from one name to another, and returns its address, which is on a
// loopback host. Datagrams that arrive there are forwarded to target.
func (n *Network) AddUDPLink(from, to, host, target string) (string, error) {
	in, err := net.ListenPacket("udp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	out, err := net.Dial("udp4", target)
	if err != nil {
		in.Close()
		return "", err
	}
	l := &udpLink{direction: n.addDirection(from, to), addr: in.LocalAddr().String(), in: in, out: out}
	n.mu.Lock()
	n.udpLinks = append(n.udpLinks, l)
	n.mu.Unlock()
	n.onClose(func() {
		// Closing the port returns no error.
		_ = l.setOpen(false)
		out.Close()
	})
	n.wg.Go(func() { l.forwardLoop(in) })
	return l.addr, nil
}

// udpLink is a one-way link for datagrams. It has one goroutine while its port is open.
type udpLink struct {
	*direction
	addr string // of the link's port
	out  net.Conn

	inMu sync.Mutex     // guards in
	in   net.PacketConn // nil while the port is closed
}

// SetServing sets whether a process is running at a name. A host answers a datagram to a port without a process with
// an ICMP error, so the links to the name close their ports to cause the same. A link whose direction is cut keeps its
// port open, because nothing may come back from it, and loses what arrives.
func (n *Network) SetServing(to string, serving bool) error {
	n.mu.Lock()
	links := slices.Clone(n.udpLinks)
	n.mu.Unlock()
	var errs []error
	for _, l := range links {
		if _, name, _ := strings.Cut(l.name, ">"); name == to && (serving || !l.isCut()) {
			errs = append(errs, l.setOpen(serving))
		}
	}
	return errors.Join(errs...)
}

// setOpen opens or closes the link's port. It opens no port after the network was closed.
func (l *udpLink) setOpen(open bool) error {
	l.inMu.Lock()
	defer l.inMu.Unlock()
	switch {
	case open == (l.in != nil):
		return nil
	case !open:
		l.in.Close()
		l.in = nil
		return nil
	}
	select {
	case <-l.network.closed:
		return nil
	default:
	}
	in, err := net.ListenPacket("udp4", l.addr)
	if err != nil {
		return err
	}
	l.in = in
	l.network.wg.Go(func() { l.forwardLoop(in) })
	return nil
}

// forwardLoop forwards datagrams from a port until the port is closed.
func (l *udpLink) forwardLoop(in net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	var overtaken []byte // a swapped datagram, sent after the next one; nil: none
	for {
		size, _, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		t := l.treat(size, false)
		if t.lost {
			continue
		}
		data := slices.Clone(buffer[:size])
		if t.corrupted {
			l.network.corrupt(data)
		}
		if t.swapped && overtaken == nil {
			overtaken = data
			continue
		}
		l.send(data, t.delay)
		if t.duplicated {
			l.send(data, t.delay)
		}
		if overtaken != nil {
			l.send(overtaken, t.delay)
			overtaken = nil
		}
	}
}

// send writes a datagram to the target after a delay. Errors are ignored, because a target without a process loses the
// datagram.
func (l *udpLink) send(data []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = l.out.Write(data)
		return
	}
	l.network.wg.Go(func() {
		if l.network.sleep(delay) {
			_, _ = l.out.Write(data)
		}
	})
}
