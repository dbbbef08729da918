package sim

import (
	"time"

	"hitchspring/policy"
)

// KillInstances kills a number of instances, each at a random time within a second. An
// instance restarts after the duration down, with the endpoint list of that time.
func KillInstances(at time.Duration, instances int, down time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for _, index := range s.rng.Perm(s.Instances)[:min(instances, s.Instances)] {
			i := s.instances[index]
			s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() {
				i.up = false
				s.abandonUnansweredRequests(i)
				s.after(down, func() {
					if err := s.startInstance(i); err != nil {
						panic(err) // unreachable: the same settings were valid at the start
					}
				})
			})
		}
	}}
}

// LoseZone stops the backends of a zone without notice. After the duration down they
// all start again at once, in slow start. Instances learn of both changes only after
// the delay of the endpoint list.
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

// ReplaceBackends drains a number of backends and starts new ones on their machines,
// one after the other, spread evenly over the duration within.
func ReplaceBackends(at time.Duration, backends int, within time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for k, index := range s.rng.Perm(len(s.backends))[:min(backends, len(s.backends))] {
			old := s.backends[index]
			s.after(within*time.Duration(k)/time.Duration(backends), func() {
				old.State = policy.Draining
				added := old.replacement("-new")
				s.startBackend(added)
				s.backends = append(s.backends, added)
				s.publishBackends(old, added)
			})
		}
	}}
}

// AddBackends starts a number of additional backends, spread evenly over the duration
// within. Each is a copy of an existing backend.
func AddBackends(at time.Duration, backends int, within time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		for k := range backends {
			s.after(within*time.Duration(k)/time.Duration(backends), func() {
				added := s.backends[k].replacement("-more")
				s.startBackend(added)
				s.backends = append(s.backends, added)
				s.publishBackends(added)
			})
		}
	}}
}

// RestartBackend stops a backend and starts it again in slow start after the duration
// down.
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

// SlowBackends makes the first backends slower by a factor for a duration.
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
	return Fault{at, func(s *simulation) { s.backends[index].refusesConnections = true }}
}

// HangBackend makes a backend accept all attempts and never answer.
func HangBackend(at time.Duration, index int) Fault {
	return Fault{at, func(s *simulation) { s.backends[index].hangs = true }}
}

// DelayEndpointList delays the endpoint list updates of one instance by an additional
// duration, for the whole run.
func DelayEndpointList(index int, by time.Duration) Fault {
	return Fault{0, func(s *simulation) { s.instances[index%s.Instances].extraListDelay = by }}
}

// Burst multiplies the arrival rate by a factor for a duration.
func Burst(at time.Duration, factor float64, length time.Duration) Fault {
	return Fault{at, func(s *simulation) {
		s.arrivalFactor = factor
		s.after(length, func() { s.arrivalFactor = 1 })
	}}
}
