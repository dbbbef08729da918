// Package measure turns what clients and backends recorded into the score of a run. Its input is the operations of
// the clients, the attempts that backends saw beyond quotas, and the costs of the run. Its output is the score as
// the users' brief defines it, what the capacity would have allowed, and latencies from the moment that a request
// was due. It starts no process and has no socket and no clock.
package measure

import "time"

// Class holds the value of the requests of a class.
type Class struct {
	PriorityWeight   float64 // value of a unit
	LatencyObjective time.Duration
	LateShare        float64 // fraction of the value that an answer after the latency objective earns
}

// Plan is what a tenant may use, and what use beyond that costs.
type Plan struct {
	Price      float64 // factor on the value
	Rate       float64 // of the quota: units a second that its token bucket gains
	Burst      float64 // of the quota: units that its token bucket holds
	ExcessCost float64 // fraction of the value that a unit beyond the quota costs
}

// Operation is what a client wanted: its first request together with its retries.
type Operation struct {
	Due        time.Duration // when the first request was to be sent
	Tenant     string
	Plan       string
	Class      string
	Units      float64
	Served     bool
	AnsweredAt time.Duration // of the answer that served it, or else of the last answer
}

// latency is how long the client waited, from when the operation was due.
func (o Operation) latency() time.Duration { return o.AnsweredAt - o.Due }

// ExcessAttempt is a first attempt beyond its tenant's quota, as its backend saw it.
type ExcessAttempt struct {
	At          time.Duration
	Plan, Class string
	Units       float64
}

// Costs holds what the service of a run cost.
type Costs struct {
	WorkRequested  time.Duration // work that the operations requested
	WorkDone       time.Duration // work that the backends did
	CounterCalls   int           // calls of the quota store
	CrossZoneSends int           // attempts sent to another zone
}

// The prices of the users' brief, in points of service for one of each for every operation.
const (
	counterCallPrice = 0.005
	wastePrice       = 0.03
	crossZonePrice   = 0.01
	lateFailurePrice = 0.05
)

// The weights of the users' brief for the parts of the service.
const (
	completeWeight   = 0.5
	worst10sWeight   = 0.25
	worstClassWeight = 0.1
	worstPlanWeight  = 0.15
)

// worstWindow is the length of the window whose service is the worst of a run.
const worstWindow = 10 * time.Second

// Score is the service with its parts, which are fractions of the value that was requested within quotas.
type Score struct {
	// Service is the weighted sum of the parts, less Prices.
	Service float64 `json:"Service"`
	// Complete is what was answered within the latency objective, less the cost of what was sent beyond quotas.
	Complete   float64 `json:"Whole"`
	Worst10s   float64 `json:"Worst10s"`   // Complete of the worst ten seconds
	WorstClass float64 `json:"WorstClass"` // Complete of the worst class
	WorstPlan  float64 `json:"WorstPlan"`  // Complete of the worst plan
	Beyond     float64 `json:"Beyond"`     // cost of use beyond quotas
	Prices     float64 `json:"Prices"`     // for counter calls, wasted work, cross-zone sends and late failures
	CrossShare float64 `json:"CrossShare"` // cross-zone sends for each operation
	Waste      float64 `json:"Waste"`      // work done beyond what was requested, as a fraction of that
}

// tally sums up the earnings of a run in the ways that the score needs.
type tally struct {
	all      earnings
	byClass  map[string]*earnings
	byPlan   map[string]*earnings
	bySecond map[int]*earnings
}

func newTally() *tally {
	return &tally{
		byClass:  map[string]*earnings{},
		byPlan:   map[string]*earnings{},
		bySecond: map[int]*earnings{},
	}
}

// add counts value that was requested and earned at a time.
func (t *tally) add(at time.Duration, class, plan string, requested, earned float64) {
	t.all.add(requested, earned)
	entry(t.byClass, class).add(requested, earned)
	entry(t.byPlan, plan).add(requested, earned)
	entry(t.bySecond, int(at/time.Second)).add(requested, earned)
}

// entry returns the earnings of a key, which it adds if there are none.
func entry[K comparable](sums map[K]*earnings, key K) *earnings {
	if sums[key] == nil {
		sums[key] = &earnings{}
	}
	return sums[key]
}

// ComputeScore computes the score of a run. What a tenant earned beyond the value that it requested within its
// quota does not count.
func ComputeScore(
	classes map[string]Class, plans map[string]Plan, operations []Operation, excess []ExcessAttempt, costs Costs,
) Score {
	operations = sortedByDue(operations)
	sums := newTally()
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
		Complete:   sums.all.ratio(),
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

// addPrices sets the costs of a run as prices for each operation.
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

// worstRatio returns the least ratio, 1 at the most.
func worstRatio(sums map[string]*earnings) float64 {
	worst := 1.0
	for _, sum := range sums {
		worst = min(worst, sum.ratio())
	}
	return worst
}

// worstWindowRatio returns the least ratio of any worstWindow that lies within the run, 1 at the most. A shorter
// run is one window.
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
		worst = min(worst, window.ratio())
	}
	return worst
}
