// Package sim plays a fleet of instances in virtual time from a seed: the real
// decision module, backends as queues, and a counter and an endpoint list that can
// be late or silent. A Fleet with its faults comes in; a Report of what backends
// and clients observed goes out. It uses the decision module by its events and
// actions alone, and neither sockets nor a real clock, so that 3 and 80 instances
// can be compared under one load. The same seed gives the same report.
package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hitchspring/policy"
)

// Fleet is what is played. Times are from the start of the run.
type Fleet struct {
	Seed      uint64
	Instances int
	Backends  int     // spread over three zones; a third of them have three slow cores, the others two
	Rate      float64 // requests a second
	Tenants   int
	Length    time.Duration // of the arrivals; the run goes on until all is answered
	Faults    []Fault

	CounterRate    float64       // calls a second that the counter can take; 0: any number
	CounterRejects float64       // share of the calls that the counter rejects
	ListDelay      time.Duration // from a change of the endpoint list to the instances' being notified

	// DemandByQuota has tenants send requests by their quotas, as on a quiet day: seven
	// in ten for a third of the rate, some for all of it, 15% for three times as much.
	// Rate is computed from that.
	DemandByQuota bool
	// WorkFactor multiplies the usual work of a request; 0: once.
	WorkFactor float64

	// assumedInstances is how many instances each takes there to be; 0: the truth. It
	// plants a defect for tests of the checks.
	assumedInstances int
}

// Fault is something that happens at a time; its constructors are in this package.
type Fault struct {
	at    time.Duration
	apply func(*simulation)
}

// Report is what backends and clients observed. Weights are priority weight times
// price times units.
type Report struct {
	OfferedWeight  float64 // of all requests, inside quotas and beyond
	ServedWeight   float64 // of requests answered within the latency objective
	Requests       int
	Answers        int // final answers of instances that lived on; with Lost they make up Requests
	Lost           int // requests of instances that were killed
	AnsweredTwice  int // requests with more than one final answer
	AnsweredLate   int // final answers after the client gave up
	Overloaded     []policy.BackendID
	SentToDraining int     // attempts sent to a backend more than the grace after its instance was notified
	OverCeiling    float64 // the most units by which a tenant exceeded its ceiling
	InsideWeight   float64 // that one instance would have admitted that sees all first attempts
	ExcessPaid     float64 // weight that first attempts beyond a quota's rate or cap cost, of all instances together
	SlowStarts     []SlowStart
}

const (
	linkDelay    = 300 * time.Microsecond // one way, between any two
	drainGrace   = 2 * time.Second
	dialTimeout  = 250 * time.Millisecond
	settlingTime = 15 * time.Second // after the last arrival
	// epoch is the clock at the start: one clock for all engines, and never near 0.
	epoch = time.Hour
)

// simulation is a run of a Fleet.
type simulation struct {
	Fleet

	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int // events scheduled

	instances []*instance
	backends  []*backend
	tenants   []*tenant
	requests  map[policy.RequestID]*request
	lastID    policy.RequestID

	arrivalFactor    float64            // times the usual arrivals
	counterTotals    map[string]float64 // by name
	counterBusyUntil time.Duration

	slowStarts []*slowStart
	report     Report
}

// Play runs a fleet to its end. It returns an error if the fleet cannot be played.
func Play(f Fleet) (*Report, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	s := &simulation{
		Fleet:         f,
		rng:           rand.New(rand.NewPCG(f.Seed, 1)),
		requests:      map[policy.RequestID]*request{},
		arrivalFactor: 1,
		counterTotals: map[string]float64{},
	}
	for i := range f.Backends {
		s.backends = append(s.backends, newBackend(i))
	}
	for i := range f.Tenants {
		s.tenants = append(s.tenants, s.newTenant(i))
	}
	if f.DemandByQuota {
		s.setDemandByQuota()
	}
	for i := range f.Instances {
		s.instances = append(s.instances, &instance{index: i})
		if err := s.startInstance(s.instances[i]); err != nil {
			return nil, err
		}
	}
	for _, fault := range f.Faults {
		s.at(fault.at, func() { fault.apply(s) })
	}
	s.scheduleArrival()
	s.run()
	return &s.report, s.reportSlowStarts()
}

func (f Fleet) check() error {
	if f.Instances < 1 || f.Backends < 3 || f.Tenants < 1 || !(f.Rate > 0) || f.Length <= 0 {
		return fmt.Errorf("sim: %d instances, %d backends, %d tenants, rate %v, length %v: "+
			"each is wanted, three backends at least", f.Instances, f.Backends, f.Tenants, f.Rate, f.Length)
	}
	if !(f.WorkFactor >= 0) {
		return fmt.Errorf("sim: work %v is below 0", f.WorkFactor)
	}
	return nil
}

// run plays events until none is left or the time for settling is over.
func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > s.Length+settlingTime {
			break
		}
		s.now = e.at
		e.run()
	}
}

// workFactor is by how much requests are heavier than usual.
func (s *simulation) workFactor() float64 { return cmp.Or(s.WorkFactor, 1) }
