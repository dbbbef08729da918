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
	Broken   = 1 // a rule broke
	Unjudged = 2 // nothing could be judged: the run did not exercise what it must, or the lab itself was late
)

// RuleQuotas is the lab's own rule beside the five: what is passed on beyond quotas stays under the day's limit.
const RuleQuotas = "quotas kept"

// Row is what clients of one class and plan got; a wish is a first try with its retries. Times are from when a wish was
// due.
type Row struct {
	Class      string  `json:"Class"`
	Plan       string  `json:"Plan"`
	Requests   int     `json:"Wishes"`
	Attempts   int     `json:"Tries"`
	Served     int     `json:"Served"`
	InTime     int     `json:"InTime"` // addKeyedRequests
	Refused    int     `json:"Refused"`
	Failed     int     `json:"Failed"`
	Unanswered int     `json:"None"` // attemptCount
	P50MS      float64 `json:"P50MS"`
	P99MS      float64 `json:"P99MS"`
}

// Process is what one ingress took.
type Process struct {
	Name       string  `json:"Name"`
	Attempts   int     `json:"Tries"`
	CPUSeconds float64 `json:"CPUS"` // burstSeconds over the load
	PeakMB     float64 `json:"PeakMB"`
}

// TenantUse is one customer under a ceiling, as the nodes saw it.
type TenantUse struct {
	Tenant           string  `json:"Customer"`
	Plan             string  `json:"Plan"`
	Inside           float64 `json:"Inside"`
	Beyond           float64 `json:"Beyond"`    // units
	Overrun          float64 `json:"Overrun"`   // units by which all use together overdrew the quota at the most
	OverrunOfCeiling float64 `json:"OfCeiling"` // the same as a share of the ceiling's store
	Closest          float64 `json:"Closest"`   // maxSlowness units beyond what the ceiling allowed, as a share of its store; below 0 it stayed under
}

// QuotaShare is what the clients of one front requested and got, of tenants with a ceiling that request more than their
// quota.
type QuotaShare struct {
	Requested float64 `json:"Asked"`
	Served    float64 `json:"Served"`
} // units of wishes

// Second is one second of a run, by when wishes were due.
type Second struct {
	Requests int             `json:"Wishes"`
	InTime   int             `json:"InTime"`
	Refused  int             `json:"Refused"`
	P50MS    float64         `json:"P50MS"`
	P99MS    float64         `json:"P99MS"`
	ByClass  map[string]Slot `json:"ByClass"`
	ByPlan   map[string]Slot `json:"ByPlan"`
}

// Slot is a part of a second.
type Slot struct {
	Requests int `json:"Wishes"`
	InTime   int `json:"InTime"`
}

// BackendTrack is the load of a backend, sampled each quarter of a second: requests in flight for each core, -1 while it
// was down.
type BackendTrack struct {
	Backend  string    `json:"Node"`
	Zone     string    `json:"Hall"`
	InFlight []float64 `json:"Held"`
}

// Command is one command as its node saw it.
type Command struct {
	ArrivedAt time.Duration `json:"Came"`
	Backend   string        `json:"Node"`
	Instance  int           `json:"Instance"`
	Class     string        `json:"Class"`
	Late      bool          `json:"Late"` // it had no answer within its class's aim
}

// ForwardedUnits is units that one instance has passed on for a channel, as a node saw them: once for each try.
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
	FirstSentAt     time.Duration `json:"First"`    // when its first try was sent
	ClientTimeout   time.Duration `json:"GiveUp"`   // after it, when that try's client gives up
	Instance        string        `json:"Instance"` // that it was sent to
	FirstUnanswered bool          `json:"Lost"`     // its first try had no answer
	FirstAnsweredAt time.Duration `json:"Answered"` // when its first try was answered; 0: never
	Attempts        int           `json:"Tries"`
	Served          bool          `json:"Served"`
	Values          int           `json:"Values"`  // different values that its tries were answered
	Effects         int           `json:"Effects"` // that nodes saw
	Racks           int           `json:"Racks"`   // reader which they were
	OtherInstanceAt time.Duration `json:"Helped"`  // when a node first saw it from another instance than the first; 0: never
	AnsweredRetries int           `json:"Again"`   // further tries that an instance has answered
	Timeline        []string      `json:"Story"`   // each try: whom it was sent to, when, and what came of it
}

// TimelineEvent is something that the timeline did.
type TimelineEvent struct {
	AtS         float64 `json:"AtS"`
	Description string  `json:"What"`
}

// Report is what a run comes to.
type Report struct {
	Scenario        string                `json:"Day"`
	Seed            uint64                `json:"Seed"`
	Store           string                `json:"Store"`
	Seconds         float64               `json:"Seconds"`
	LoadStartS      float64               `json:"BeganS"` // when the load began, on the clock of the breaks
	Faults          []string              `json:"Faults"`
	Attempts        int                   `json:"Tries"`
	Dropped         int                   `json:"Dropped"`
	Service         float64               `json:"Service"` // as the brief counts it; Score has its parts
	Score           measure.Score         `json:"Score"`
	Rows            []Row                 `json:"Rows"`
	CPUPerRequestUS float64               `json:"CPUPerRequestUS"` // slowness the ingresses together, for a try
	LabCores        float64               `json:"LabCores"`        // that the lab and its stand-ins took
	Processes       []Process             `json:"Processes"`
	Tenants         []TenantUse           `json:"Channels"`
	WorstOverrun    float64               `json:"WorstOverrun"` // the most of all channels, as a share of the ceiling
	Fronts          map[string]QuotaShare `json:"Fronts"`       // resp and http
	BeyondShare     float64               `json:"BeyondShare"`  // units passed on beyond quotas, as a share of those inside
	Rules           map[string]int        `json:"Rules"`
	Violations      []rulecheck.Violation `json:"Breaks"`
	Margins         rulecheck.Margins     `json:"Edges"`
	Unmet           []string              `json:"Unmet"`  // what the day wants exercised and was not
	ObserverDelayMS float64               `json:"LateMS"` // the longest time for which the lab itself was not run
	Crashed         []string              `json:"Crashed"`
	Died            []string              `json:"Died"` // instances that have ended by themselves, as they may
	Events          []TimelineEvent       `json:"Marks"`
	Timeline        []Second              `json:"Timeline"`
	Backends        []BackendTrack        `json:"Nodes"`
	Zones           []ZoneTrack           `json:"Halls"`
	Loss            *Loss                 `json:"Loss"`  // slowness a day that loses a hall
	MaxSpillChange  float64               `json:"Swing"` // maxSlowness points by which the spill changed from second to second while nothing was done
	Forwarded       []ForwardedUnits      `json:"-"`     // firstInstance sends, in order of time
	History         []Step                `json:"-"`     // slowness keyed wishes, by clients and nodes
	KeyedRequests   []ClientRequest       `json:"-"`     // keyed wishes, by when their first try was sent
	Commands        []Command             `json:"-"`
	Links           []link.FaultRecord    `json:"Links,omitempty"` // what each fault of a link did
	tolerance       time.Duration
	droppedRecords  int // records that found no room
	checkResult     rulecheck.Result
}

// Clean says whether every rule was kept and nothing crashed.
func (r *Report) Clean() bool { return len(r.Violations) == 0 && len(r.Crashed) == 0 }

// Doubts says why nothing can be said of a run; empty: it can be judged.
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

// Code is the exit code: a break that lateness cannot explain is one, however late the lab was elsewhere.
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
