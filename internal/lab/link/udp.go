package link

import (
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Datagrams opens a one-way link for datagrams from one name to another, at an address of a loopback host, and returns the
// address. What comes there goes on to target.
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
	d := &udpLink{direction: n.addDirection(from, to), addr: in.LocalAddr().String(), in: in, out: out}
	n.mu.Lock()
	n.udpLinks = append(n.udpLinks, d)
	n.mu.Unlock()
	n.onClose(func() {
		d.setOpen(false)
		out.Close()
	})
	n.wg.Go(func() { d.forwardLoop(in) })
	return d.addr, nil
}

// datagrams is a one-way link for datagrams.
type udpLink struct {
	*direction
	addr  string
	out net.Conn
	mu  sync.Mutex // of in
	in  net.PacketConn
}

// Serves says whether there is a process at a name. A host turns datagrams back to a port without one, so the links to it do the same; where the way is
// cut nothing comes back, and the link goes on losing what comes.
func (n *Network) SetServing(to string, there bool) error {
	n.mu.Lock()
	list := slices.Clone(n.udpLinks)
	n.mu.Unlock()
	var errs []error
	for _, d := range list {
		if _, name, _ := strings.Cut(d.name, ">"); name == to && (there || !d.isCut()) {
			errs = append(errs, d.setOpen(there))
		}
	}
	return errors.Join(errs...)
}

// turn opens or closes the link's own port.
func (d *udpLink) setOpen(open bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case open == (d.in != nil):
		return nil
	case !open:
		d.in.Close()
		d.in = nil
		return nil
	}
	select {
	case <-d.network.closed:
		return nil
	default:
	}
	in, err := net.ListenPacket("udp4", d.addr)
	if err != nil {
		return err
	}
	d.in = in
	d.network.wg.Go(func() { d.forwardLoop(in) })
	return nil
}

func (d *udpLink) forwardLoop(in net.PacketConn) {
	w, out := d.direction, d.out
	b := make([]byte, 64<<10)
	var waits []byte // for the next to overtake it
	for {
		k, _, err := in.ReadFrom(b)
		if err != nil {
			return
		}
		f := w.treat(k, false)
		if f.lost {
			continue
		}
		data := slices.Clone(b[:k])
		if f.corrupted {
			w.network.corrupt(data)
		}
		if f.swapped && waits == nil {
			waits = data
			continue
		}
		w.send(out, data, f.delay)
		if f.duplicated {
			w.send(out, data, f.delay)
		}
		if waits != nil {
			w.send(out, waits, f.delay)
			waits = nil
		}
	}
}

func (w *direction) send(out net.Conn, data []byte, later time.Duration) {
	if later <= 0 {
		out.Write(data) // who is not there loses it
		return
	}
	w.network.wg.Go(func() {
		if w.network.sleep(later) {
			out.Write(data)
		}
	})
}

// sleep waits, and returns false where the network is closed before.
func (n *Network) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.closed:
		return false
	case <-t.C:
		return true
	}
}
