// Package simproto implements the simulator's line protocol. A line is a name and
// tab-separated fields. The input is batches of lines with events; each batch gets
// one reply, the lines of the actions that the instances' engines return for these
// events. The package only parses and formats lines; package policy makes every
// decision. A malformed line ends the run with an error that names the line and the
// field.
package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"hitchspring/policy"
)

// host runs the engines of many instances. Each engine handles only the events of its
// own instance.
type host struct {
	engines map[int]*policy.Engine // by number of the instance
}

// Serve runs the instances that the batches of in start, and writes a reply to out for
// each batch, until the input ends.
func Serve(in io.Reader, out io.Writer) error {
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
			reply = h.handleMessage(reply, batch, m)
		}
		reply = append(reply, "NEXT\n"...)
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handleMessage handles one message and appends the lines of the resulting actions. If
// the engine panics, its instance is removed and reported as failed; the others go on.
func (h *host) handleMessage(buf []byte, batch *Batch, m Message) (reply []byte) {
	start := len(buf)
	defer func() {
		if p := recover(); p != nil {
			delete(h.engines, m.Instance)
			reply = AppendFault(buf[:start], m.Instance, fmt.Sprint(p))
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
