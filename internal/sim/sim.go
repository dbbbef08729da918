// Package sim simulates a fleet of instances in virtual time: the real policy module,
// backends as queues, a counter and an endpoint list that can be slow or fail. The input
// is a Fleet with its faults; the output is a Report of what backends and clients
// observed. The simulation uses only the events and actions of the policy module, and
// neither sockets nor a real clock, so that it can compare 3 and 80 instances under the
// same load. The same seed gives the same report.
package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hitchspring/policy"
)

// Fleet describes a simulation. Times are relative to its start.
type Fleet struct {
	Seed      uint64
	Instances int
	Backends  int     // in three zones; a third of them have three slow cores, the others two fast ones
	Rate      float64 // requests per second
	Tenants   int
	Length    time.Duration // how long requests arrive; the run continues for up to settlingTime
	Faults    []Fault

	CounterRate       float64       // calls per second that the counter can process; 0: no limit
	CounterRejects    float64       // probability that the counter rejects a call
	EndpointListDelay time.Duration // from a change of the endpoint list to the notification of instances

	// DemandByQuota sets each tenant's demand by the rate of its quota, as under normal
	// load: 70% of the tenants use 0.35 of it, 15% use 0.95 and 15% three times as much.
	// Rate is computed from these demands.
	DemandByQuota bool
	// WorkFactor multiplies the work of every request; 0 means 1.
	WorkFactor float64

	// assumedInstances is the number of instances in the settings of each instance; 0: the
	// real number. Tests use a wrong number as a planted defect that the checks must detect.
	assumedInstances int
}

// Fault is a change of the simulation at a given time, such as a failure or a burst. The
// functions of this package that return a Fault create them.
type Fault struct {
	at    time.Duration
	apply func(*simulation)
}

// Report holds what backends and clients observed. The weight of a request is its
// priority weight times price times units.
type Report struct {
	OfferedWeight      float64 // of all requests, within quotas and beyond
	ServedWeight       float64 // of requests answered within the latency objective
	Requests           int
	Answers            int                // requests with a final answer; Answers + Lost = Requests
	Lost               int                // requests whose instance was killed or down
	AnsweredTwice      int                // final answers beyond the first of a request
	AnsweredLate       int                // final answers after the client gave up
	Overloaded         []policy.BackendID // backends that were overloaded in slow start
	SentToDraining     int                // attempts at a backend after the grace period of its drain
	OverCeiling        float64            // maximum excess of a tenant over its ceiling in units
	WeightWithinQuotas float64            // of requests that a single instance seeing all requests would have admitted
	ExcessCostTotal    float64            // cost, as weight, of requests beyond their tenant's quota or cap
	SlowStarts         []SlowStart
}

const (
	linkDelay    = 300 * time.Microsecond // one way, between any two processes
	drainGrace   = 2 * time.Second
	dialTimeout  = 250 * time.Millisecond
	settlingTime = 15 * time.Second // after the last arrival
	// epoch is the clock of all engines at the start of the run. It is far from 0, since a
	// time of 0 means that something has not happened.
	epoch = time.Hour
)

// simulation is the state of one run of a Fleet.
type simulation struct {
	Fleet

	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int // number of events scheduled so far

	instances []*instance
	backends  []*backend
	tenants   []*tenant
	requests  map[policy.RequestID]*request
	lastID    policy.RequestID

	arrivalFactor    float64            // factor on the arrival rate
	counterTotals    map[string]float64 // by name
	counterBusyUntil time.Duration

	slowStartRecords []*slowStartRecord
	report           Report
}

// Run simulates a fleet and returns its report. It returns an error if the fleet is
// invalid.
func Run(f Fleet) (*Report, error) {
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
			"all must be positive, with at least three backends", f.Instances, f.Backends, f.Tenants, f.Rate, f.Length)
	}
	if !(f.WorkFactor >= 0) {
		return fmt.Errorf("sim: work %v is negative", f.WorkFactor)
	}
	return nil
}

// run executes events until none is left or settlingTime has passed since the last
// arrival.
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

// workFactor returns the factor on the work of every request.
func (s *simulation) workFactor() float64 { return cmp.Or(s.WorkFactor, 1) }
