package lab

import (
	"fmt"
	"time"

	"hitchspring/internal/lab/link"
	"hitchspring/internal/lab/measure"
	"hitchspring/internal/rulecheck"
)

// Exit codes of a run.
const (
	Clean    = 0
	Broken   = 1 // a rule was violated
	Unjudged = 2 // inconclusive: the run did not exercise what it must, or the testbed itself was too slow
)

// RuleQuotas is the testbed's own rule besides the five: the units forwarded beyond quotas stay under the limit of the
// scenario.
const RuleQuotas = "quotas kept"

// Row sums up the requests of one class and plan. A request is a first attempt with its retries. Latencies count from
// when the request was due.
type Row struct {
	Class      string  `json:"Class"`
	Plan       string  `json:"Plan"`
	Requests   int     `json:"Wishes"`
	Attempts   int     `json:"Tries"`
	Served     int     `json:"Served"`
	InTime     int     `json:"InTime"` // requests
	Refused    int     `json:"Refused"`
	Failed     int     `json:"Failed"`
	Unanswered int     `json:"None"` // attempts
	P50MS      float64 `json:"P50MS"`
	P99MS      float64 `json:"P99MS"`
}

// Process is the resource use of one instance.
type Process struct {
	Name       string  `json:"Name"`
	Attempts   int     `json:"Tries"`
	CPUSeconds float64 `json:"CPUS"` // CPU time during the load, in seconds
	PeakMB     float64 `json:"PeakMB"`
}

// TenantUse is the use of one tenant with a ceiling, as the backends saw it.
type TenantUse struct {
	Tenant           string  `json:"Customer"`
	Plan             string  `json:"Plan"`
	Inside           float64 `json:"Inside"`
	Beyond           float64 `json:"Beyond"`    // units
	Overrun          float64 `json:"Overrun"`   // maximum units by which the total use overdrew the quota
	OverrunOfCeiling float64 `json:"OfCeiling"` // Overrun as a fraction of the ceiling's burst
	Closest          float64 `json:"Closest"`   // maximum units beyond the ceiling, as a fraction of its burst; < 0: stayed below
}

// QuotaShare is what clients requested and got through one front end, RESP2 or HTTP. It counts the tenants with a
// ceiling that request more than their quota.
type QuotaShare struct {
	Requested float64 `json:"Asked"`
	Served    float64 `json:"Served"`
} // in units of requests

// Second sums up the requests that were due in one second of a run.
type Second struct {
	Requests int             `json:"Wishes"`
	InTime   int             `json:"InTime"`
	Refused  int             `json:"Refused"`
	P50MS    float64         `json:"P50MS"`
	P99MS    float64         `json:"P99MS"`
	ByClass  map[string]Slot `json:"ByClass"`
	ByPlan   map[string]Slot `json:"ByPlan"`
}

// Slot is the part of a Second of one class or plan.
type Slot struct {
	Requests int `json:"Wishes"`
	InTime   int `json:"InTime"`
}

// BackendTrack is the load of a backend, sampled four times per second: requests in flight per core, -1 while it was
// down.
type BackendTrack struct {
	Backend  string    `json:"Node"`
	Zone     string    `json:"Hall"`
	InFlight []float64 `json:"Held"`
}

// Command is one command as its backend saw it.
type Command struct {
	ArrivedAt time.Duration `json:"Came"`
	Backend   string        `json:"Node"`
	Instance  int           `json:"Instance"`
	Class     string        `json:"Class"`
	Late      bool          `json:"Late"` // not answered within the latency objective of its class
}

// ForwardedUnits is the units of an attempt that an instance forwarded for a tenant, as a backend saw them. Repeated
// commands for one attempt count once.
type ForwardedUnits struct {
	ArrivedAt time.Duration `json:"Came"`
	Instance  int           `json:"Instance"`
	Tenant    string        `json:"Customer"`
	Units     float64       `json:"Units"`
}

// ClientRequest is one effect that a client wants, with its idempotency key and all its attempts.
type ClientRequest struct {
	Key             string        `json:"Key"`
	Class           string        `json:"Class"`
	FirstSentAt     time.Duration `json:"First"`    // when its first attempt was sent
	ClientTimeout   time.Duration `json:"GiveUp"`   // from FirstSentAt until the client gives up the first attempt
	Instance        string        `json:"Instance"` // instance that received the first attempt
	FirstUnanswered bool          `json:"Lost"`     // the first attempt got no answer
	FirstAnsweredAt time.Duration `json:"Answered"` // when the first attempt was answered; 0: never
	Attempts        int           `json:"Tries"`
	Served          bool          `json:"Served"`
	Values          int           `json:"Values"`  // number of different values in the answers
	Effects         int           `json:"Effects"` // number of effects that backends recorded
	Racks           int           `json:"Racks"`   // number of racks with effects
	OtherInstanceAt time.Duration `json:"Helped"`  // first command of another instance at a backend; 0: never
	AnsweredRetries int           `json:"Again"`   // number of retries that were answered
	Timeline        []string      `json:"Story"`   // one line for each attempt: its instance, send time and result
}

// TimelineEvent is a fault or another step of the scenario, at a time after the start of the load.
type TimelineEvent struct {
	AtS         float64 `json:"AtS"`
	Description string  `json:"What"`
}

// Report is the result of a run.
type Report struct {
	Scenario        string                `json:"Day"`
	Seed            uint64                `json:"Seed"`
	Store           string                `json:"Store"`
	Seconds         float64               `json:"Seconds"`
	LoadStartS      float64               `json:"BeganS"` // start of the load, on the clock of the violations
	Faults          []string              `json:"Faults"`
	Attempts        int                   `json:"Tries"`
	Dropped         int                   `json:"Dropped"`
	Service         float64               `json:"Service"` // service score of the specification; Score has its parts
	Score           measure.Score         `json:"Score"`
	Rows            []Row                 `json:"Rows"`
	CPUPerRequestUS float64               `json:"CPUPerRequestUS"` // of all instances together, per attempt
	LabCores        float64               `json:"LabCores"`        // CPU cores that the testbed and its stand-ins used
	Processes       []Process             `json:"Processes"`
	Tenants         []TenantUse           `json:"Channels"`
	WorstOverrun    float64               `json:"WorstOverrun"` // maximum of OverrunOfCeiling over all tenants
	Fronts          map[string]QuotaShare `json:"Fronts"`       // by front end: resp and http
	BeyondShare     float64               `json:"BeyondShare"`  // units beyond quotas, as a fraction of those within
	Rules           map[string]int        `json:"Rules"`
	Violations      []rulecheck.Violation `json:"Breaks"`
	Margins         rulecheck.Margins     `json:"Edges"`
	Unmet           []string              `json:"Unmet"`  // requirements of the scenario that the run did not exercise
	ObserverDelayMS float64               `json:"LateMS"` // longest time for which the testbed itself was not scheduled
	Crashed         []string              `json:"Crashed"`
	Died            []string              `json:"Died"` // instances that exited by themselves, as Config.MayExit allows
	Events          []TimelineEvent       `json:"Marks"`
	Timeline        []Second              `json:"Timeline"`
	Backends        []BackendTrack        `json:"Nodes"`
	Zones           []ZoneTrack           `json:"Halls"`
	Loss            *Loss                 `json:"Loss"`  // of a scenario with a zone outage
	MaxSpillChange  float64               `json:"Swing"` // largest change of the spill per second without a fault
	Forwarded       []ForwardedUnits      `json:"-"`     // first command of each attempt, by arrival
	History         []Step                `json:"-"`     // of keyed requests, as clients and backends saw them
	KeyedRequests   []ClientRequest       `json:"-"`     // by FirstSentAt
	Commands        []Command             `json:"-"`
	Links           []link.FaultRecord    `json:"Links,omitempty"` // effect of each link fault
	tolerance       time.Duration
	droppedRecords  int // backend records dropped for lack of capacity
	checkResult     rulecheck.Result
}

// Clean reports whether no rule was violated and no process crashed.
func (r *Report) Clean() bool { return len(r.Violations) == 0 && len(r.Crashed) == 0 }

// Doubts returns the reasons why the run is inconclusive, none if it is conclusive.
func (r *Report) Doubts() (out []string) {
	if delay := time.Duration(r.ObserverDelayMS * float64(ms)); delay > r.tolerance {
		out = append(out, fmt.Sprintf("the lab itself stood still for %v: its observers were late", delay.Round(ms)))
	}
	if r.droppedRecords > 0 {
		out = append(out, fmt.Sprintf("%d commands found no room in the nodes' record", r.droppedRecords))
	}
	if r.Dropped > 0 {
		out = append(out, fmt.Sprintf("%d tries found no room at the clients", r.Dropped))
	}
	return append(out, r.Unmet...)
}

// Code returns the exit code. A violation that observer delays cannot explain counts even if the testbed was slow at
// other times.
func (r *Report) Code() int {
	certain := r.checkResult.CountCertain()
	for _, violation := range r.Violations {
		if violation.Rule == RuleQuotas {
			certain++
		}
	}
	switch {
	case certain > 0 || len(r.Crashed) > 0:
		return Broken
	case len(r.Doubts()) > 0 || len(r.Violations) > 0:
		return Unjudged
	}
	return Clean
}
