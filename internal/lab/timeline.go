package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/standin/backend"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/zonedrain"
)

// timeline does the steps at their times, until ctx ends.
func (w *Testbed) timeline(ctx context.Context, began time.Time, steps []scenario.Step) error {
	for _, s := range steps {
		t := time.NewTimer(time.Until(began.Add(s.At)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		err := w.do(ctx, s)
		w.mu.Lock()
		w.notes = append(w.notes, s.Text)
		w.mu.Unlock()
		if err != nil {
			return fmt.Errorf("fault %q: %w", s.Text, err)
		}
	}
	return nil
}

// later does something after a while, unless the run ends before.
func (w *Testbed) later(ctx context.Context, d time.Duration, do func()) {
	w.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			do()
		}
	})
}

func (w *Testbed) do(ctx context.Context, s scenario.Step) error {
	verb := s.ActionFields()[0]
	switch s.Kind {
	case "store":
		return w.store.Do(s.Action)
	case "ingress":
		return w.doIngress(ctx, w.ingresses[s.Index], s)
	case "discovery":
		w.registry.Mute(s.Index, true)
		w.later(ctx, s.Duration(1), func() { w.registry.Mute(s.Index, false) })
		return nil
	case "lab":
		return w.pause(s.Duration(1))
	case "node":
		return w.doNode(s.Index, s)
	case "link":
		return w.doLink(s)
	}
	var which []int // of a hall, or the fleet
	for i, spec := range w.specs {
		if s.Kind == "fleet" || spec.Zone == "hall-"+string(rune('a'+s.Index)) {
			which = append(which, i)
		}
	}
	switch {
	case s.Kind == "fleet" && verb == "restart": // the next so many in turn
		n := int(float64(len(which))*s.Factor(1) + 0.5)
		for range n {
			if err := w.restart(w.restarted % len(which)); err != nil {
				return err
			}
			w.restarted++
		}
		return nil
	case verb == "drill":
		return w.drill("hall-"+string(rune('a'+s.Index)), s.Duration(1))
	case verb == "die" || verb == "trickle": // nobody tells discovery; cold when it is back
		for _, i := range which {
			w.stopNode(i)
		}
		for k, i := range which {
			d := s.Duration(1)
			if verb == "trickle" {
				d += time.Duration(k) * s.Duration(2)
			}
			w.backLater(ctx, d, i)
		}
		return nil
	case verb == "vanish":
		for _, i := range which {
			n, _ := w.node(i)
			for at := range w.day.Ingresses {
				n.Cut(at, s.Duration(1)+time.Second)
			}
			w.backLater(ctx, s.Duration(1), i)
		}
		return nil
	case verb == "out":
		for _, i := range which {
			_, t := w.node(i)
			w.stopNode(i)
			w.tell(t, "DELETED")
		}
		for _, i := range which {
			w.backLater(ctx, s.Duration(1), i)
		}
		return nil
	}
	for _, i := range which {
		if err := w.doNode(i, s); err != nil {
			return err
		}
	}
	return nil
}

// backLater starts a node anew after a while, where nobody has done so meanwhile.
func (w *Testbed) backLater(ctx context.Context, d time.Duration, i int) {
	n, _ := w.node(i)
	w.later(ctx, d, func() {
		if now, _ := w.node(i); now != n {
			return
		}
		if err := w.restart(i); err != nil {
			w.mu.Lock()
			w.notes = append(w.notes, fmt.Sprintf("node %d does not come back: %v", i, err))
			w.mu.Unlock()
		}
	})
}

// drill takes a hall out by the file that all instances read.
func (w *Testbed) drill(hall string, d time.Duration) error {
	now := time.Now()
	l, err := zonedrain.Load(w.drills, now)
	if err == nil {
		l, err = l.Start(zonedrain.Drain{Zone: hall, Until: now.Add(d), Reason: "the lab's"}, now)
	}
	if err == nil {
		err = l.Save(w.drills)
	}
	return err
}

// restart ends a node and starts it cold, at other addresses under its old id.
func (w *Testbed) restart(i int) error {
	n, _ := w.node(i)
	w.stopNode(i)
	t, err := w.addNode(n.Spec, true)
	if err == nil {
		w.registry.Set(t, false)
	}
	return err
}

// pause stops this whole process for a while, as a machine without time for it would.
func (w *Testbed) pause(d time.Duration) error {
	pid := os.Getpid()
	script := fmt.Sprintf("kill -STOP %d; sleep %.3f; kill -CONT %d", pid, d.Seconds(), pid)
	return exec.Command("sh", "-c", script).Run()
}

// fault notes what went wrong with a step that was not waited for.
func (w *Testbed) fault(err error) {
	if err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.failed = append(w.failed, err)
	}
}

func (w *Testbed) doIngress(ctx context.Context, g *ingress, s scenario.Step) error {
	switch s.ActionFields()[0] {
	case "kill":
		g.down()
		g.Stop(syscall.SIGKILL)
	case "term":
		g.down()
		g.Stop(syscall.SIGTERM)
	case "restart": // others go on meanwhile
		w.wg.Go(func() { w.fault(g.restart(ctx, s.Duration(1))) })
	case "pause":
		w.wg.Go(func() { w.fault(g.pause(ctx, s.Duration(1))) })
	}
	return nil
}

func (w *Testbed) doNode(i int, s scenario.Step) error {
	n, t := w.node(i)
	switch words := s.ActionFields(); words[0] {
	case "slow":
		n.Slow(s.Factor(1), s.Duration(2))
	case "pause":
		n.Pause(s.Duration(1))
	case "neighbour":
		n.Neighbour(s.Factor(1), s.Duration(2), s.Duration(3), s.Duration(4))
	case "reset":
		n.Reset()
	case "drain":
		w.tell(t, "DRAINING")
	case "serve":
		w.tell(t, "SERVING")
	case "unlist":
		w.tell(t, "DELETED")
	case "stop":
		w.stopNode(i)
		w.tell(t, "DELETED")
	case "restart":
		return w.restart(i)
	case "cut":
		if len(words) == 3 {
			n.Cut(s.Number(1), s.Duration(2))
			return nil
		}
		return ruleAt(n, s.Action)
	default:
		return ruleAt(n, s.Action)
	}
	return nil
}

func ruleAt(n *backend.Backend, text string) error {
	r, err := fault.Parse(text)
	if err == nil {
		n.Fault(r)
	}
	return err
}
