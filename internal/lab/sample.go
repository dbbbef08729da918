package lab

import (
	"context"
	"syscall"
	"time"
)

const sampleEvery = 250 * ms

// sample watches how full the nodes are.
func (w *Testbed) sample(ctx context.Context, able *ableTrack) map[string]*BackendTrack {
	out := map[string]*BackendTrack{}
	for _, s := range w.specs {
		out[s.ID] = &BackendTrack{Backend: s.ID, Zone: s.Zone}
	}
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return out
		case <-t.C:
		}
		w.sampleAble(w.load.began, able)
		for i, s := range w.specs {
			n, _ := w.node(i)
			held, _, down := n.Load()
			v := float64(held) / float64(s.Cores)
			if down {
				v = -1
			}
			out[s.ID].InFlight = append(out[s.ID].InFlight, v)
		}
	}
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
