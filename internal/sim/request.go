package sim

import (
	"time"

	"hitchspring/policy"
)

// Mean work of a request, in seconds of one core at full speed.
const (
	readWork     = 0.08
	publishWork  = 0.25
	publishShare = 0.2 // of all requests
	meanWork     = (1-publishShare)*readWork + publishShare*publishWork
)

// abandoned is the value of request.answers for a request that its instance was killed
// before answering, or that arrived while its instance was down.
const abandoned = -1

func classes() []policy.Class {
	return []policy.Class{
		{
			Name: "read", PriorityWeight: 2, LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second,
			Effect: policy.Safe, Group: policy.GroupAll,
		},
		{
			Name: "publish", PriorityWeight: 5, LatencyObjective: 4 * time.Second, Deadline: 10 * time.Second,
			Effect: policy.Keyed, RepeatWindow: 6 * time.Second,
		},
	}
}

// request is a client's request with its attempts and its outcome.
type request struct {
	policy.Request

	class     policy.Class
	instance  *instance
	arrivedAt time.Duration
	attempts  []*attempt
	answers   int  // number of final answers, or abandoned
	counted   bool // it was charged to quota and ceiling when its first attempt arrived at a backend
}

// weight returns priority weight times price times units.
func (r *request) weight(p policy.Plan) float64 { return r.class.PriorityWeight * p.Price * r.Units }

// workOf returns the mean work of a class.
func (s *simulation) workOf(c policy.Class) float64 {
	if c.Name == "publish" {
		return publishWork * s.workFactor()
	}
	return readWork * s.workFactor()
}

// scheduleArrival schedules the arrival of the next request, which in turn schedules the
// one after it.
func (s *simulation) scheduleArrival() {
	if s.now > s.Length {
		return
	}
	gap := s.rng.ExpFloat64() / (s.Rate * s.arrivalFactor)
	s.after(time.Duration(gap*float64(time.Second)), func() {
		s.arrive()
		s.scheduleArrival()
	})
}

// arrive draws a random request and notifies its instance of it.
func (s *simulation) arrive() {
	t := s.drawTenant()
	r := s.drawRequest(t)
	s.report.Requests++
	s.report.OfferedWeight += r.weight(t.plan)
	// What a single instance that sees all requests would admit, whether or not it is
	// admitted in this run.
	if t.idealQuota.take(t.plan, s.now, r.Units) {
		s.report.WeightWithinQuotas += r.weight(t.plan)
	}
	s.requests[r.ID] = r
	if !r.instance.up {
		s.report.Lost++
		r.answers = abandoned
		return
	}
	s.notify(r.instance, policy.Arrival{Request: r.Request})
}

// drawRequest draws a random request of a tenant.
func (s *simulation) drawRequest(t *tenant) *request {
	class := classes()[0]
	if s.rng.Float64() < publishShare {
		class = classes()[1]
	}
	target := s.instances[(t.firstInstance+s.rng.IntN(t.spread))%s.Instances]
	s.lastID++
	timeout := time.Duration((0.5 + s.rng.Float64()/2) * float64(class.Deadline))
	return &request{
		class:     class,
		instance:  target,
		arrivedAt: s.now,
		Request: policy.Request{
			ID:       s.lastID,
			Class:    class.Name,
			Plan:     t.plan.Name,
			Tenant:   t.id,
			GiveUpAt: epoch + s.now + timeout,
			Units:    float64(1 + s.rng.IntN(2)),
			Spread:   t.spread,
			First:    t.firstInstance,
		},
	}
}

// answer counts a final answer. Only the first reaches the client; more are a fault.
func (s *simulation) answer(id policy.RequestID, served bool) {
	r := s.requests[id]
	if r == nil || r.answers == abandoned {
		return
	}
	r.answers++
	if r.answers > 1 {
		s.report.AnsweredTwice++
		return
	}
	s.report.Answers++
	if epoch+s.now > r.GiveUpAt {
		s.report.AnsweredLate++
	}
	if !served || s.now-r.arrivedAt > r.class.LatencyObjective {
		return
	}
	for _, p := range plans() {
		if p.Name == r.Plan {
			s.report.ServedWeight += r.weight(p)
		}
	}
}
