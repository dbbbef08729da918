package policy

import (
	"math"
	"strings"
	"time"
)

// LearnedState is the state that an engine hands over to another process of the same
// instance: quotas and statistics with their times, and the number of attempts in
// flight, but no requests. The JSON names are kept for compatibility with earlier
// versions.
type LearnedState struct {
	Window           float64          `json:"Window"`
	MeanLatency      float64          `json:"Lag"` // mean latency, seconds
	AnswerRate       float64          `json:"Flow"`
	AnswerRateAt     time.Duration    `json:"FlowAt"`
	CounterCallShare float64          `json:"AskShare"`
	InFlight         int              `json:"Busy"` // attempts that count toward the window
	Classes          []LearnedClass   `json:"Classes"`
	Backends         []LearnedBackend `json:"Servers"`
	Tenants          []LearnedTenant  `json:"Customers"`
}

// LearnedClass holds the latency statistics of a class, in seconds.
type LearnedClass struct {
	Name      string  `json:"Name"`
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// LearnedBackend holds the statistics of a backend since its start at Started.
type LearnedBackend struct {
	ID                  BackendID     `json:"ID"`
	Started             time.Duration `json:"Started"`
	SlownessAt          time.Duration `json:"SlowAt"`
	LastSent            time.Duration `json:"LastSent"`
	EjectedUntil        time.Duration `json:"Banned"`
	Slowness            float64       `json:"Slow"`
	ConsecutiveFailures int           `json:"Fails"`
}

// LearnedTenant holds an instance's view of a tenant's quota, and its leased units.
type LearnedTenant struct {
	Account         string        `json:"ID"` // Request.Account
	Plan            string        `json:"Plan"`
	Tenant          string        `json:"Customer"`
	Spread          int           `json:"Spread"`
	First           int           `json:"First"`
	LeasedUnits     float64       `json:"Block"`
	UnreportedUnits float64       `json:"Owed"` // leased units not yet added to the counter
	Level           float64       `json:"Level"`
	Demand          float64       `json:"Demand"`
	OthersRate      float64       `json:"Others"`
	LevelAt         time.Duration `json:"At"`
	TotalAt         time.Duration `json:"Looked"`
	ExhaustedUntil  time.Duration `json:"Spent"`
	Epoch           int64         `json:"Epoch"`
	Total           float64       `json:"Total"`
	ObservedUnits   float64       `json:"SeenUnits"`
	ObservedFor     float64       `json:"SeenFor"`
	ObservedAt      time.Duration `json:"SeenAt"`
	LastRequest     time.Duration `json:"Seen"`
	NextCounterCall time.Duration `json:"NextCall"`
	RefreshedAt     time.Duration `json:"Refreshed"`
	CounterSilent   bool          `json:"Silent"`
	CeilingLevel    float64       `json:"Ceiling"`
	CeilingAt       time.Duration `json:"CeilingAt"`
	InFlight        int           `json:"Open"` // attempts in flight
	Share           float64       `json:"Part"` // this instance's share of the plan
}

// ExportState returns the current state for another process of this instance.
func (e *Engine) ExportState() LearnedState {
	state := LearnedState{
		Window:           e.window.size,
		MeanLatency:      e.meanLatency,
		AnswerRate:       e.responses.rate,
		AnswerRateAt:     e.responses.rateAt,
		CounterCallShare: e.counterCallShare,
		InFlight:         e.window.inFlight,
	}
	for _, configured := range e.settings.Classes {
		if c := e.classes[configured.Name]; c.meanLatency > 0 {
			state.Classes = append(state.Classes, LearnedClass{
				Name:      configured.Name,
				Mean:      c.meanLatency,
				Deviation: c.latencyDeviation,
			})
		}
	}
	for _, b := range e.running {
		state.Backends = append(state.Backends, LearnedBackend{
			ID:                  b.ID,
			Started:             b.Started,
			SlownessAt:          b.slownessAt,
			LastSent:            b.lastSent,
			EjectedUntil:        b.ejectedUntil,
			Slowness:            b.slowness,
			ConsecutiveFailures: b.consecutiveFailures,
		})
	}
	for _, t := range e.tenantOrder {
		state.Tenants = append(state.Tenants, e.exportTenant(t))
	}
	return state
}

func (e *Engine) exportTenant(t *tenant) LearnedTenant {
	return LearnedTenant{
		Account:         t.account,
		Plan:            t.plan.Name,
		Tenant:          t.name,
		Spread:          t.spread,
		First:           e.firstInstance(t),
		LeasedUnits:     t.leasedUnits,
		UnreportedUnits: t.unreportedUnits,
		Level:           t.level,
		Demand:          t.demand,
		OthersRate:      t.othersRate,
		LevelAt:         t.levelAt,
		TotalAt:         t.totalAt,
		ExhaustedUntil:  t.exhaustedUntil,
		Epoch:           t.epoch,
		Total:           t.total,
		ObservedUnits:   t.observedUnits,
		ObservedFor:     t.observedFor,
		ObservedAt:      t.observedAt,
		LastRequest:     t.lastRequest,
		NextCounterCall: t.nextCall,
		RefreshedAt:     t.refreshedAt,
		CounterSilent:   t.counterSilent,
		CeilingLevel:    t.ceilingLevel,
		CeilingAt:       t.ceilingAt,
		InFlight:        t.inFlight,
		Share:           1 / t.shareDivisor,
	}
}

// firstInstance returns the index of the first instance that receives the tenant's
// requests.
func (e *Engine) firstInstance(t *tenant) int {
	return (e.settings.Index - t.position + e.settings.Instances) % e.settings.Instances
}

// ImportState applies the state exported by another process. The attempts in flight
// of that process count in this engine until ReleasePredecessor is called.
func (e *Engine) ImportState(now time.Duration, state LearnedState) {
	e.now = max(now, e.now)
	e.ReleasePredecessor()
	if state.Window > 0 {
		e.window.size = max(state.Window, minWindow)
		e.counterCallShare = min(1, max(state.CounterCallShare, minCounterCallShare))
		e.meanLatency = state.MeanLatency
		e.responses.rate = state.AnswerRate
		e.responses.rateAt = state.AnswerRateAt
	}
	for _, learned := range state.Classes {
		if c := e.classes[learned.Name]; c != nil {
			c.meanLatency = learned.Mean
			c.latencyDeviation = learned.Deviation
		}
	}
	for _, learned := range state.Backends {
		if b := e.backends[learned.ID]; b != nil && b.Started == learned.Started {
			b.slowness = max(learned.Slowness, 0.01) // 0 marks a backend without statistics
			b.slownessAt = learned.SlownessAt
			b.lastSent = learned.LastSent
			b.consecutiveFailures = learned.ConsecutiveFailures
			b.ejectedUntil = learned.EjectedUntil
		}
	}
	for _, learned := range state.Tenants {
		if p := e.plans[learned.Plan]; p != nil && learned.Account != "" {
			e.importTenant(p, learned)
		}
	}
	e.window.predecessorInFlight = state.InFlight
	e.window.inFlight += state.InFlight
}

func (e *Engine) importTenant(p *Plan, learned LearnedTenant) {
	if learned.Tenant == "" { // from an earlier version, whose accounts consisted of the tenant's name
		learned.Tenant, _, _ = strings.Cut(learned.Account, "/")
		learned.Epoch = -1
		learned.Total = 0
	}
	t := e.tenantFor(&request{plan: p, Request: Request{
		Tenant: learned.Tenant,
		Plan:   learned.Plan,
		Spread: learned.Spread,
		First:  max(learned.First, 0),
	}})
	t.leasedUnits = learned.LeasedUnits
	t.unreportedUnits = learned.UnreportedUnits
	t.level = learned.Level
	t.levelAt = learned.LevelAt
	t.refreshedAt = learned.RefreshedAt
	t.demand = learned.Demand
	t.othersRate = learned.OthersRate
	t.lastRequest = learned.LastRequest
	t.epoch = learned.Epoch
	t.total = learned.Total
	t.totalAt = learned.TotalAt
	t.nextCall = learned.NextCounterCall
	t.counterSilent = learned.CounterSilent
	t.exhaustedUntil = learned.ExhaustedUntil
	t.observedUnits = learned.ObservedUnits
	t.observedFor = learned.ObservedFor
	t.observedAt = learned.ObservedAt
	t.ceilingLevel = learned.CeilingLevel
	t.ceilingAt = learned.CeilingAt
	t.predecessorInFlight = learned.InFlight
	t.inFlight += learned.InFlight
}

// ReleasePredecessor stops counting the attempts in flight that ImportState added,
// because the other process has none left. Further calls have no effect.
func (e *Engine) ReleasePredecessor() {
	e.window.inFlight -= e.window.predecessorInFlight
	e.window.predecessorInFlight = 0
	for _, t := range e.tenantOrder {
		t.inFlight -= t.predecessorInFlight
		t.predecessorInFlight = 0
	}
}

// RetainUnits sets the units of each tenant that this engine keeps after it has given
// the rest to another process of this instance. From then on quotas and ceilings are
// refilled only in that process.
func (e *Engine) RetainUnits(retained []LearnedTenant) {
	for _, r := range retained {
		if t := e.tenants[r.Account]; t != nil {
			t.leasedUnits = r.LeasedUnits
			t.unreportedUnits = r.UnreportedUnits
			t.ceilingLevel = r.CeilingLevel
			t.level = min(0, t.level) - t.plan.Burst/2 // new units of the quota are leased by the other process
		}
	}
	for _, p := range e.plans {
		p.CeilingRate = min(p.CeilingRate, math.SmallestNonzeroFloat32)
	}
}
