package lab

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hitchspring/internal/standin/fault"
)

// step is one entry of the timeline.
type step struct {
	at     time.Duration
	target string
	what   string
	text   string // as it was given
}

// parseTimeline reads entries of the form TARGET:WHAT at TIME, where TARGET is store, node/N, ingress/N or discovery/N.
// WHAT is, at the store, one of its own words or a fault rule; at a node slow TIMES DURATION, drain, serve, stop, restart
// or a fault rule; at an ingress kill, term or restart DURATION; at discovery's agent mute DURATION.
func parseTimeline(entries []string) ([]step, error) {
	var out []step
	for _, e := range entries {
		target, rest, ok := strings.Cut(e, ":")
		what, at, timed := cutLast(rest, " at ")
		if !ok || !timed {
			return nil, fmt.Errorf("fault %q: want TARGET:WHAT at TIME", e)
		}
		d, err := time.ParseDuration(strings.TrimSpace(at))
		if err != nil || d < 0 || d > MostTime {
			return nil, fmt.Errorf("fault %q: %q is no time of the run", e, strings.TrimSpace(at))
		}
		out = append(out, step{d, strings.TrimSpace(target), strings.TrimSpace(what), e})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// knows says what is wrong with a step's target, before anything runs.
func (w *World) knows(s step) error {
	kind, n, err := splitTarget(s.target)
	if err != nil {
		return fmt.Errorf("fault %q: %w", s.text, err)
	}
	most := map[string]int{"store": 1, "node": w.cfg.Nodes, "ingress": w.cfg.Ingresses, "discovery": w.cfg.Ingresses}[kind]
	if n >= most {
		return fmt.Errorf("fault %q: there are %d of %s, the first is %s/0", s.text, most, kind, kind)
	}
	return nil
}

func splitTarget(t string) (kind string, n int, err error) {
	kind, num, has := strings.Cut(t, "/")
	if has {
		if n, err = strconv.Atoi(num); err != nil || n < 0 {
			return "", 0, fmt.Errorf("%q is no number", num)
		}
	}
	switch kind {
	case "store", "node", "ingress", "discovery":
		return kind, n, nil
	}
	return "", 0, fmt.Errorf("target %q is none of store, node/N, ingress/N, discovery/N", t)
}

// timeline does the steps at their times, until ctx ends.
func (w *World) timeline(ctx context.Context, began time.Time, steps []step) error {
	for _, s := range steps {
		t := time.NewTimer(time.Until(began.Add(s.at)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		err := w.do(ctx, s)
		w.mu.Lock()
		w.notes = append(w.notes, s.text)
		w.mu.Unlock()
		if err != nil {
			return fmt.Errorf("fault %q: %w", s.text, err)
		}
	}
	return nil
}

func (w *World) do(ctx context.Context, s step) error {
	kind, n, _ := splitTarget(s.target)
	words := strings.Fields(s.what)
	if len(words) == 0 {
		return fmt.Errorf("nothing to do")
	}
	switch kind {
	case "store":
		return w.store.Do(s.what)
	case "ingress":
		return w.doIngress(ctx, w.ingresses[n], words)
	case "discovery":
		d, err := oneDuration(words)
		if err != nil || words[0] != "mute" {
			return fmt.Errorf("want mute DURATION")
		}
		w.registry.Mute(n, true)
		time.AfterFunc(d, func() { w.registry.Mute(n, false) })
		return nil
	}
	return w.doNode(fmt.Sprintf("node-%02d", n), words, s.what)
}

func oneDuration(words []string) (time.Duration, error) {
	if len(words) != 2 {
		return 0, fmt.Errorf("%s wants a duration", words[0])
	}
	return time.ParseDuration(words[1])
}

func (w *World) doIngress(ctx context.Context, g *ingress, words []string) error {
	switch words[0] {
	case "kill", "term":
		sig := syscall.SIGKILL
		if words[0] == "term" {
			sig = syscall.SIGTERM
		}
		g.down()
		g.signal(sig)
		return nil
	case "restart":
		pause, err := oneDuration(words)
		if err != nil {
			return err
		}
		g.down()
		g.signal(syscall.SIGKILL)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		err = g.start(ctx)
		g.up()
		return err
	}
	return fmt.Errorf("want kill, term or restart DURATION")
}

func (w *World) doNode(id string, words []string, text string) error {
	w.mu.Lock()
	n, t := w.byName[id], w.targets[id]
	w.mu.Unlock()
	switch words[0] {
	case "slow":
		if len(words) != 3 {
			return fmt.Errorf("want slow TIMES DURATION")
		}
		times, err1 := strconv.ParseFloat(words[1], 64)
		d, err2 := time.ParseDuration(words[2])
		if err1 != nil || err2 != nil || !(times >= 1) {
			return fmt.Errorf("want slow TIMES DURATION")
		}
		n.Slow(times, d)
	case "drain":
		t.State = "DRAINING"
		w.registry.Set(t, false)
	case "serve":
		t.State = "SERVING"
		w.registry.Set(t, false)
	case "stop":
		n.Stop()
		t.State = "DELETED"
		w.registry.Set(t, false)
	case "restart": // cold, at a new address, under its old id
		n.Stop()
		again, err := w.addNode(n.Spec, true)
		if err != nil {
			return err
		}
		w.mu.Lock()
		t = w.targets[again.ID]
		w.mu.Unlock()
		w.registry.Set(t, false)
	default:
		r, err := fault.Parse(text)
		if err != nil {
			return err
		}
		n.Fault(r)
	}
	return nil
}
