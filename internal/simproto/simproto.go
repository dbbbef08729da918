package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"hitchspring/policy"
)

// Host runs many instances, each with events of its own only, until input ends.
func Host(in io.Reader, out io.Writer) error {
	r, w := NewReader(in), bufio.NewWriterSize(out, 1<<20)
	gateways := map[int]*policy.Engine{}
	var buf []byte
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = buf[:0]
		for _, m := range batch.Messages {
			buf = handle(buf, gateways, batch, m)
		}
		buf = append(buf, "NEXT\n"...)
		if _, err := w.Write(buf); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handle plays one message; a panic of the module becomes that instance's fault.
func handle(buf []byte, gateways map[int]*policy.Engine, batch *Batch, m Message) (reply []byte) {
	mark := len(buf)
	defer func() {
		if p := recover(); p != nil {
			delete(gateways, m.Instance)
			reply = AppendFault(buf[:mark], m.Instance, fmt.Sprint(p))
		}
	}()
	switch {
	case m.Name == "DESTROY":
		delete(gateways, m.Instance)
	case m.Settings != nil:
		g, err := policy.New(*m.Settings, m.Seed)
		if err != nil {
			return AppendFault(buf, m.Instance, err.Error())
		}
		gateways[m.Instance] = g
	default:
		if g := gateways[m.Instance]; g != nil && m.Event != nil {
			for _, a := range g.Handle(batch.Now, m.Event, nil) {
				buf = AppendAction(buf, m.Instance, a)
			}
		}
	}
	return buf
}
