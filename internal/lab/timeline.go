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

// runTimeline runs the steps at their times, until ctx ends.
func (tb *Testbed) runTimeline(ctx context.Context, startedAt time.Time, steps []scenario.Step) error {
	for _, s := range steps {
		t := time.NewTimer(time.Until(startedAt.Add(s.At)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		err := tb.runStep(ctx, s)
		tb.mu.Lock()
		tb.faultLog = append(tb.faultLog, s.Text)
		tb.mu.Unlock()
		if err != nil {
			return fmt.Errorf("fault %q: %w", s.Text, err)
		}
	}
	return nil
}

// schedule calls do after d, unless the run ends before.
func (tb *Testbed) schedule(ctx context.Context, d time.Duration, do func()) {
	tb.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			do()
		}
	})
}

func (tb *Testbed) runStep(ctx context.Context, s scenario.Step) error {
	verb := s.ActionFields()[0]
	switch s.Kind {
	case "store":
		return tb.store.Do(s.Action)
	case "ingress":
		return tb.injectInstanceFault(ctx, tb.instances[s.Index], s)
	case "discovery":
		tb.registry.SetSilent(s.Index, true)
		tb.schedule(ctx, s.Duration(1), func() { tb.registry.SetSilent(s.Index, false) })
		return nil
	case "lab":
		return tb.pauseLab(s.Duration(1))
	case "node":
		return tb.injectBackendFault(s.Index, s)
	case "link":
		return tb.injectLinkFault(s)
	}
	var which []int // indexes of the backends of a zone, or of the fleet
	for i, spec := range tb.specs {
		if s.Kind == "fleet" || spec.Zone == "hall-"+string(rune('a'+s.Index)) {
			which = append(which, i)
		}
	}
	switch {
	case s.Kind == "fleet" && verb == "restart": // the next fraction of the backends, in turn
		n := int(float64(len(which))*s.Factor(1) + 0.5)
		for range n {
			if err := tb.restartBackend(tb.fleetRestarts % len(which)); err != nil {
				return err
			}
			tb.fleetRestarts++
		}
		return nil
	case verb == "drill":
		return tb.drainZone("hall-"+string(rune('a'+s.Index)), s.Duration(1))
	case verb == "die" || verb == "trickle": // discovery is not notified; the backends return in slow start
		for _, i := range which {
			tb.stopBackend(i)
		}
		for k, i := range which {
			d := s.Duration(1)
			if verb == "trickle" {
				d += time.Duration(k) * s.Duration(2)
			}
			tb.restartLater(ctx, d, i)
		}
		return nil
	case verb == "vanish":
		for _, i := range which {
			n, _ := tb.backendAt(i)
			for at := range tb.scenarioConfig.Ingresses {
				n.Partition(at, s.Duration(1)+time.Second)
			}
			tb.restartLater(ctx, s.Duration(1), i)
		}
		return nil
	case verb == "out":
		for _, i := range which {
			_, t := tb.backendAt(i)
			tb.stopBackend(i)
			tb.publishState(t, "DELETED")
		}
		for _, i := range which {
			tb.restartLater(ctx, s.Duration(1), i)
		}
		return nil
	}
	for _, i := range which {
		if err := tb.injectBackendFault(i, s); err != nil {
			return err
		}
	}
	return nil
}

// restartLater restarts a backend after d, unless another step has replaced it meanwhile.
func (tb *Testbed) restartLater(ctx context.Context, d time.Duration, i int) {
	n, _ := tb.backendAt(i)
	tb.schedule(ctx, d, func() {
		if now, _ := tb.backendAt(i); now != n {
			return
		}
		if err := tb.restartBackend(i); err != nil {
			tb.mu.Lock()
			tb.faultLog = append(tb.faultLog, fmt.Sprintf("node %d does not come back: %v", i, err))
			tb.mu.Unlock()
		}
	})
}

// drainZone drains a zone by the zone drain file that all instances read.
func (tb *Testbed) drainZone(zone string, d time.Duration) error {
	now := time.Now()
	l, err := zonedrain.Load(tb.drainFile, now)
	if err == nil {
		l, err = l.Start(zonedrain.Drain{Zone: zone, Until: now.Add(d), Reason: "the lab's"}, now)
	}
	if err == nil {
		err = l.Save(tb.drainFile)
	}
	return err
}

// restartBackend stops a backend and starts it in slow start, with the same id at new addresses.
func (tb *Testbed) restartBackend(i int) error {
	n, _ := tb.backendAt(i)
	tb.stopBackend(i)
	t, err := tb.addBackend(n.Spec, true)
	if err == nil {
		tb.registry.Set(t, false)
	}
	return err
}

// pauseLab stops this process for d, as an overloaded machine would. A shell sends the signals, since a stopped
// process cannot continue itself.
func (tb *Testbed) pauseLab(d time.Duration) error {
	pid := os.Getpid()
	script := fmt.Sprintf("kill -STOP %d; sleep %.3f; kill -CONT %d", pid, d.Seconds(), pid)
	return exec.Command("sh", "-c", script).Run()
}

// recordFailure records the error of a step that runs in the background.
func (tb *Testbed) recordFailure(err error) {
	if err != nil {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.stepErrors = append(tb.stepErrors, err)
	}
}

func (tb *Testbed) injectInstanceFault(ctx context.Context, inst *instance, s scenario.Step) error {
	switch s.ActionFields()[0] {
	case "kill":
		inst.markDown()
		inst.Stop(syscall.SIGKILL)
	case "term":
		inst.markDown()
		inst.Stop(syscall.SIGTERM)
	case "restart": // in the background, so that later steps are not delayed
		tb.wg.Go(func() { tb.recordFailure(inst.restart(ctx, s.Duration(1))) })
	case "pause":
		tb.wg.Go(func() { tb.recordFailure(inst.pause(ctx, s.Duration(1))) })
	}
	return nil
}

func (tb *Testbed) injectBackendFault(i int, s scenario.Step) error {
	n, t := tb.backendAt(i)
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
		tb.publishState(t, "DRAINING")
	case "serve":
		tb.publishState(t, "SERVING")
	case "unlist":
		tb.publishState(t, "DELETED")
	case "stop":
		tb.stopBackend(i)
		tb.publishState(t, "DELETED")
	case "restart":
		return tb.restartBackend(i)
	case "cut":
		if len(words) == 3 {
			n.Partition(s.Number(1), s.Duration(2))
			return nil
		}
		return addFaultRule(n, s.Action)
	default:
		return addFaultRule(n, s.Action)
	}
	return nil
}

func addFaultRule(n *backend.Backend, text string) error {
	r, err := fault.Parse(text)
	if err == nil {
		n.Fault(r)
	}
	return err
}
