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
func (n *Net) Datagrams(from, to, host, target string) (string, error) {
	in, err := net.ListenPacket("udp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	out, err := net.Dial("udp4", target)
	if err != nil {
		in.Close()
		return "", err
	}
	d := &datagrams{way: n.newWay(from, to), at: in.LocalAddr().String(), in: in, out: out}
	n.mu.Lock()
	n.datagrams = append(n.datagrams, d)
	n.mu.Unlock()
	n.onClose(func() {
		d.turn(false)
		out.Close()
	})
	n.wg.Go(func() { d.carry(in) })
	return d.at, nil
}

// datagrams is a one-way link for datagrams.
type datagrams struct {
	*way
	at  string
	out net.Conn
	mu  sync.Mutex // of in
	in  net.PacketConn
}

// Serves says whether there is a process at a name. A host turns datagrams back to a port without one, so the links to it do the same; where the way is
// cut nothing comes back, and the link goes on losing what comes.
func (n *Net) SetServing(to string, there bool) error {
	n.mu.Lock()
	list := slices.Clone(n.datagrams)
	n.mu.Unlock()
	var errs []error
	for _, d := range list {
		if _, name, _ := strings.Cut(d.name, ">"); name == to && (there || !d.cut()) {
			errs = append(errs, d.turn(there))
		}
	}
	return errors.Join(errs...)
}

// turn opens or closes the link's own port.
func (d *datagrams) turn(open bool) error {
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
	case <-d.net.shut:
		return nil
	default:
	}
	in, err := net.ListenPacket("udp4", d.at)
	if err != nil {
		return err
	}
	d.in = in
	d.net.wg.Go(func() { d.carry(in) })
	return nil
}

func (d *datagrams) carry(in net.PacketConn) {
	w, out := d.way, d.out
	b := make([]byte, 64<<10)
	var waits []byte // for the next to overtake it
	for {
		k, _, err := in.ReadFrom(b)
		if err != nil {
			return
		}
		f := w.meet(k, false)
		if f.lost {
			continue
		}
		data := slices.Clone(b[:k])
		if f.flip {
			w.net.flip(data)
		}
		if f.swap && waits == nil {
			waits = data
			continue
		}
		w.forward(out, data, f.later)
		if f.twice {
			w.forward(out, data, f.later)
		}
		if waits != nil {
			w.forward(out, waits, f.later)
			waits = nil
		}
	}
}

func (w *way) forward(out net.Conn, data []byte, later time.Duration) {
	if later <= 0 {
		out.Write(data) // who is not there loses it
		return
	}
	w.net.wg.Go(func() {
		if w.net.sleep(later) {
			out.Write(data)
		}
	})
}

// sleep waits, and returns false where the network is closed before.
func (n *Net) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.shut:
		return false
	case <-t.C:
		return true
	}
}
