package lab

import (
	"context"
	"syscall"
	"time"
)

const sampleInterval = 250 * ms

// sample records the load of each backend and the capacity of each zone until ctx ends.
func (tb *Testbed) sample(ctx context.Context, capacity *capacityTrack) map[string]*BackendTrack {
	out := map[string]*BackendTrack{}
	for _, s := range tb.specs {
		out[s.ID] = &BackendTrack{Backend: s.ID, Zone: s.Zone}
	}
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return out
		case <-t.C:
		}
		tb.sampleCapacity(tb.load.startedAt, capacity)
		for i, s := range tb.specs {
			n, _ := tb.backendAt(i)
			inFlight, _, down := n.Load()
			v := float64(inFlight) / float64(s.Cores)
			if down {
				v = -1
			}
			out[s.ID].InFlight = append(out[s.ID].InFlight, v)
		}
	}
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
