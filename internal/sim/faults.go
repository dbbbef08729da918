package sim

import (
	"time"

	"hitchspring/policy"
)

// KillInstances kills so many instances within a second. Each comes back after
// down, and knows the backends as they then are.
func KillInstances(at time.Duration, instances int, down time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for _, index := range s.rng.Perm(s.Instances)[:min(instances, s.Instances)] {
			i := s.instances[index]
			s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() {
				i.up = false
				s.abandonRequests(i)
				s.after(down, func() {
					if err := s.startInstance(i); err != nil {
						panic(err) // the same settings were good at the start
					}
				})
			})
		}
	}}
}

// LoseZone stops the backends of a zone without notice. They come back in slow
// start, all at once; the endpoint list shows both late.
func LoseZone(at time.Duration, zone string, down time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		var lost []*backend
		for _, b := range s.backends {
			if b.Zone == zone {
				lost = append(lost, b)
				s.stopBackend(b)
			}
		}
		s.publishBackends(lost...)
		s.after(down, func() {
			for _, b := range lost {
				s.startBackend(b)
			}
			s.publishBackends(lost...)
		})
	}}
}

// ReplaceBackends drains backends and starts new ones in their place, spread over
// a time.
func ReplaceBackends(at time.Duration, backends int, within time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for k, index := range s.rng.Perm(len(s.backends))[:min(backends, len(s.backends))] {
			old := s.backends[index]
			s.after(within*time.Duration(k)/time.Duration(backends), func() {
				old.State = policy.Draining
				fresh := old.replacement("-new")
				s.startBackend(fresh)
				s.backends = append(s.backends, fresh)
				s.publishBackends(old, fresh)
			})
		}
	}}
}

// AddBackends adds new backends, spread over a time, each like one that is there.
func AddBackends(at time.Duration, backends int, within time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for k := range backends {
			s.after(within*time.Duration(k)/time.Duration(backends), func() {
				fresh := s.backends[k].replacement("-more")
				s.startBackend(fresh)
				s.backends = append(s.backends, fresh)
				s.publishBackends(fresh)
			})
		}
	}}
}

// RestartBackend stops a backend and starts it again, in slow start.
func RestartBackend(at time.Duration, index int, down time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		b := s.backends[index]
		s.stopBackend(b)
		s.publishBackends(b)
		s.after(down, func() {
			s.startBackend(b)
			s.publishBackends(b)
		})
	}}
}

// SlowBackends makes backends slower by a factor for a time.
func SlowBackends(at time.Duration, backends int, factor float64, length time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for _, b := range s.backends[:min(backends, len(s.backends))] {
			b.slowdown = factor
			s.after(length, func() { b.slowdown = 1 })
		}
	}}
}

// RefuseConnections makes a backend refuse all connections.
func RefuseConnections(at time.Duration, index int) Fault {
	return Fault{at, func(s *simulation) { s.backends[index].refuses = true }}
}

// HangBackend makes a backend take what comes and never answer.
func HangBackend(at time.Duration, index int) Fault {
	return Fault{at, func(s *simulation) { s.backends[index].hangs = true }}
}

// DelayList has an instance notified of the endpoint list so much later than the
// rest.
func DelayList(index int, by time.Duration) Fault {
	return Fault{0, func(s *simulation) { s.instances[index%s.Instances].listDelay = by }}
}

// Burst multiplies the arrivals for a time.
func Burst(at time.Duration, factor float64, length time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		s.arrivalFactor = factor
		s.after(length, func() { s.arrivalFactor = 1 })
	}}
}
