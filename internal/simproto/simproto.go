// Package simproto speaks the simulator's protocol: lines of a name and
// tab-separated fields, in batches that are each answered by one reply. Lines of
// events come in; lines of the actions that the instances' engines decide on go
// out. It parses and prints only; every decision is made by package policy. A
// malformed line ends the exchange with an error that names the line and the
// field.
package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"hitchspring/policy"
)

// host runs the engines of many instances, each with its own events only.
type host struct {
	engines map[int]*policy.Engine // by instance
}

// Host runs many instances until the input ends.
func Host(in io.Reader, out io.Writer) error {
	h := &host{engines: map[int]*policy.Engine{}}
	r := NewReader(in)
	w := bufio.NewWriterSize(out, bufferSize)
	var reply []byte
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		for _, m := range batch.Messages {
			reply = h.handle(reply, batch, m)
		}
		reply = append(reply, "NEXT\n"...)
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handle handles one message and appends the lines of its actions. A panic of the
// engine becomes a fault of its instance alone.
func (h *host) handle(buf []byte, batch *Batch, m Message) (reply []byte) {
	mark := len(buf)
	defer func() {
		if p := recover(); p != nil {
			delete(h.engines, m.Instance)
			reply = AppendFault(buf[:mark], m.Instance, fmt.Sprint(p))
		}
	}()
	switch {
	case m.Name == "DESTROY":
		delete(h.engines, m.Instance)
	case m.Settings != nil:
		engine, err := policy.New(*m.Settings, m.Seed)
		if err != nil {
			return AppendFault(buf, m.Instance, err.Error())
		}
		h.engines[m.Instance] = engine
	default:
		if engine := h.engines[m.Instance]; engine != nil && m.Event != nil {
			for _, action := range engine.Handle(batch.Now, m.Event, nil) {
				buf = AppendAction(buf, m.Instance, action)
			}
		}
	}
	return buf
}
