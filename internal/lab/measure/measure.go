// Package measure computes the score of a run from the records of clients and backends. Its inputs are the clients'
// operations, the attempts beyond quotas that backends received, and the costs of the run. Its outputs are the score as
// the user requirements define it, the value that the capacity would have allowed, and latency histograms. It does no
// I/O and reads no clock.
package measure

import "time"

// Class defines the value of the requests of a class.
type Class struct {
	PriorityWeight   float64 // value of a unit
	LatencyObjective time.Duration
	LateShare        float64 // fraction of the value that a late answer earns
}

// Plan defines a tenant's quota and the cost of use beyond it.
type Plan struct {
	Price      float64 // factor on the value
	Rate       float64 // refill of the quota's token bucket, in units per second
	Burst      float64 // size of the quota's token bucket, in units
	ExcessCost float64 // cost of a unit beyond the quota, as a fraction of its value
}

// Operation is a client's first request together with its retries.
type Operation struct {
	Due        time.Duration // when the first request should have been sent
	Tenant     string
	Plan       string
	Class      string
	Units      float64
	Served     bool
	AnsweredAt time.Duration // when it was served, or else when the last answer arrived
}

// latency returns the time from when the operation was due until it was answered.
func (o Operation) latency() time.Duration { return o.AnsweredAt - o.Due }

// ExcessAttempt is a first attempt beyond its tenant's quota that a backend received.
type ExcessAttempt struct {
	At          time.Duration
	Plan, Class string
	Units       float64
}

// Costs holds the resources that a run used.
type Costs struct {
	WorkRequested  time.Duration // total work of the operations
	WorkDone       time.Duration // total work done by the backends
	CounterCalls   int           // calls to the shared counter
	CrossZoneSends int           // attempts sent to a backend in another zone
}

// The prices that the user requirements set, as the service lost for one of each per operation.
const (
	counterCallPrice = 0.005
	wastePrice       = 0.03
	crossZonePrice   = 0.01
	lateFailurePrice = 0.05
)

// The weights that the user requirements set for the parts of the service.
const (
	completeWeight   = 0.5
	worst10sWeight   = 0.25
	worstClassWeight = 0.1
	worstPlanWeight  = 0.15
)

// worstWindow is the length of the windows of which the worst one counts in the score.
const worstWindow = 10 * time.Second

// Score is the service of a run with its parts. The parts are fractions of the value that was requested within quotas.
type Score struct {
	// Service is the weighted sum of Complete, Worst10s, WorstClass and WorstPlan, less Prices.
	Service float64 `json:"Service"`
	// Complete is the value earned by answers, in full only within the latency objective, less the cost of attempts
	// beyond quotas.
	Complete   float64 `json:"Whole"`
	Worst10s   float64 `json:"Worst10s"`   // Complete of the worst ten seconds
	WorstClass float64 `json:"WorstClass"` // Complete of the worst class
	WorstPlan  float64 `json:"WorstPlan"`  // Complete of the worst plan
	Beyond     float64 `json:"Beyond"`     // cost of attempts beyond quotas
	Prices     float64 `json:"Prices"`     // of counter calls, wasted work, cross-zone sends and late failures
	CrossShare float64 `json:"CrossShare"` // cross-zone sends per operation
	Waste      float64 `json:"Waste"`      // work done beyond the requested work, as a fraction of it
}

// earningsTally sums up the earnings of a run in total, and by class, plan and second.
type earningsTally struct {
	all      earnings
	byClass  map[string]*earnings
	byPlan   map[string]*earnings
	bySecond map[int]*earnings
}

func newEarningsTally() *earningsTally {
	return &earningsTally{
		byClass:  map[string]*earnings{},
		byPlan:   map[string]*earnings{},
		bySecond: map[int]*earnings{},
	}
}

// add adds value that was requested and earned at the given time.
func (t *earningsTally) add(at time.Duration, class, plan string, requested, earned float64) {
	t.all.add(requested, earned)
	entry(t.byClass, class).add(requested, earned)
	entry(t.byPlan, plan).add(requested, earned)
	entry(t.bySecond, int(at/time.Second)).add(requested, earned)
}

// entry returns the earnings for a key, which it creates if they are missing.
func entry[K comparable](sums map[K]*earnings, key K) *earnings {
	if sums[key] == nil {
		sums[key] = &earnings{}
	}
	return sums[key]
}

// ComputeScore computes the score of a run. A tenant earns at most the value that it requested within its quota.
func ComputeScore(
	classes map[string]Class, plans map[string]Plan, operations []Operation, excess []ExcessAttempt, costs Costs,
) Score {
	operations = sortedByDue(operations)
	sums := newEarningsTally()
	lateFailures := 0
	for i, credit := range creditOperations(classes, plans, operations) {
		operation := operations[i]
		if !operation.Served && operation.latency() > classes[operation.Class].LatencyObjective {
			lateFailures++
		}
		sums.add(operation.Due, operation.Class, operation.Plan, credit.requested, credit.earned)
	}
	excessCost := 0.0
	for _, attempt := range excess {
		plan := plans[attempt.Plan]
		cost := classes[attempt.Class].PriorityWeight * plan.Price * attempt.Units * plan.ExcessCost
		excessCost += cost
		sums.add(attempt.At, attempt.Class, attempt.Plan, 0, -cost)
	}
	score := Score{
		Complete:   sums.all.earnedRatio(),
		Worst10s:   worstWindowRatio(sums.bySecond),
		WorstClass: worstRatio(sums.byClass),
		WorstPlan:  worstRatio(sums.byPlan),
	}
	if sums.all.requested > 0 {
		score.Beyond = excessCost / sums.all.requested
	}
	score.addPrices(costs, len(operations), lateFailures)
	score.Service = completeWeight*score.Complete + worst10sWeight*score.Worst10s +
		worstClassWeight*score.WorstClass + worstPlanWeight*score.WorstPlan - score.Prices
	return score
}

// addPrices sets CrossShare, Waste and Prices from the costs of a run, per operation.
func (s *Score) addPrices(costs Costs, operations, lateFailures int) {
	if operations == 0 {
		return
	}
	count := float64(operations)
	s.CrossShare = float64(costs.CrossZoneSends) / count
	if costs.WorkRequested > 0 {
		s.Waste = max(0, (costs.WorkDone-costs.WorkRequested).Seconds()/costs.WorkRequested.Seconds())
	}
	s.Prices = counterCallPrice*float64(costs.CounterCalls)/count + wastePrice*min(1, s.Waste) +
		crossZonePrice*s.CrossShare + lateFailurePrice*float64(lateFailures)/count
}

// worstRatio returns the lowest ratio, at most 1.
func worstRatio(sums map[string]*earnings) float64 {
	worst := 1.0
	for _, sum := range sums {
		worst = min(worst, sum.earnedRatio())
	}
	return worst
}

// worstWindowRatio returns the lowest ratio of any window of length worstWindow within the run, at most 1. A run that
// is shorter counts as one window.
func worstWindowRatio(bySecond map[int]*earnings) float64 {
	if len(bySecond) == 0 {
		return 1
	}
	first, last := 1<<30, -1
	for second := range bySecond {
		first, last = min(first, second), max(last, second)
	}
	width := int(worstWindow / time.Second)
	worst := 1.0
	for from := first; from == first || from+width <= last+1; from++ {
		var window earnings
		for second := from; second < from+width; second++ {
			if sum := bySecond[second]; sum != nil {
				window.add(sum.requested, sum.earned)
			}
		}
		worst = min(worst, window.earnedRatio())
	}
	return worst
}
