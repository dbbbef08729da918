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

// Quotas is the lab's own rule beside the five: what is passed on beyond quotas stays under the day's limit.
const Quotas = "quotas kept"

// Row is what clients of one class and plan got; a wish is a first try with its retries. Times are from when a wish was
// due.
type Row struct {
	Class, Plan           string
	Wishes, Tries         int
	Served, InTime        int // wishes
	Refused, Failed, None int // tries
	P50MS, P99MS          float64
}

// Process is what one ingress took.
type Process struct {
	Name   string
	Tries  int
	CPUS   float64 // seconds over the load
	PeakMB float64
}

// Channel is one customer under a ceiling, as the nodes saw it.
type Channel struct {
	Customer       string
	Plan           string
	Inside, Beyond float64 // units
	Overrun        float64 // units by which all use together overdrew the quota at the most
	OfCeiling      float64 // the same as a share of the ceiling's store
	Closest        float64 // most units beyond what the ceiling allowed, as a share of its store; below 0 it stayed under
}

// Share is what one front's clients asked for and got, of the channels under a ceiling that ask for more than their quota.
type Share struct{ Asked, Served float64 } // units of wishes

// Second is one second of a run, by when wishes were due.
type Second struct {
	Wishes, InTime, Refused int
	P50MS, P99MS            float64
	ByClass                 map[string]Slot
	ByPlan                  map[string]Slot
}

// Slot is a part of a second.
type Slot struct{ Wishes, InTime int }

// NodeTrack is how full a node was, sampled each quarter of a second: requests held for each core, -1 while it was down.
type NodeTrack struct {
	Node, Hall string
	Held       []float64
}

// Command is one command as its node saw it.
type Command struct {
	Came     time.Duration
	Node     string
	Instance int
	Class    string
	Late     bool // it had no answer within its class's aim
}

// Pass is units that one instance has passed on for a channel, as a node saw them: once for each try.
type Pass struct {
	Came     time.Duration
	Instance int
	Customer string
	Units    float64
}

// Wish is a client's keyed wish with its tries.
type Wish struct {
	Key      string
	Class    string
	First    time.Duration // when its first try was sent
	GiveUp   time.Duration // after it, when that try's client gives up
	Instance string        // that it was sent to
	Lost     bool          // its first try had no answer
	Answered time.Duration // when its first try was answered; 0: never
	Tries    int
	Served   bool
	Values   int           // different values that its tries were answered
	Effects  int           // that nodes saw
	Racks    int           // in which they were
	Helped   time.Duration // when a node first saw it from another instance than the first; 0: never
	Again    int           // further tries that an instance has answered
	Story    []string      // each try: whom it was sent to, when, and what came of it
}

// Mark is something that the timeline did.
type Mark struct {
	AtS  float64
	What string
}

// Report is what a run comes to.
type Report struct {
	Day             string
	Seed            uint64
	Store           string
	Seconds         float64
	BeganS          float64 // when the load began, on the clock of the breaks
	Faults          []string
	Tries, Dropped  int
	Service         float64 // as the brief counts it; Score has its parts
	Score           measure.Score
	Rows            []Row
	CPUPerRequestUS float64 // of the ingresses together, for a try
	LabCores        float64 // that the lab and its stand-ins took
	Processes       []Process
	Channels        []Channel
	WorstOverrun    float64          // the most of all channels, as a share of the ceiling
	Fronts          map[string]Share // resp and http
	BeyondShare     float64          // units passed on beyond quotas, as a share of those inside
	Rules           map[string]int
	Breaks          []rulecheck.Break
	Edges           rulecheck.Edges
	Unmet           []string // what the day wants exercised and was not
	LateMS          float64  // the longest time for which the lab itself was not run
	Crashed         []string
	Died            []string // instances that have ended by themselves, as they may
	Marks           []Mark
	Timeline        []Second
	Nodes           []NodeTrack
	Halls           []HallTrack
	Loss            *Loss        // of a day that loses a hall
	Swing           float64      // most points by which the spill changed from second to second while nothing was done
	Passes          []Pass       `json:"-"` // first sends, in order of time
	History         []Step       `json:"-"` // of keyed wishes, by clients and nodes
	Keyed           []Wish       `json:"-"` // keyed wishes, by when their first try was sent
	Commands        []Command    `json:"-"`
	Links           []link.Acted `json:",omitempty"` // what each fault of a link did
	tolerance       time.Duration
	lost            int // records that found no room
	verdict         rulecheck.Verdict
}

// Clean says whether every rule was kept and nothing crashed.
func (r *Report) Clean() bool { return len(r.Breaks) == 0 && len(r.Crashed) == 0 }

// Doubts says why nothing can be said of a run; empty: it can be judged.
func (r *Report) Doubts() (out []string) {
	if late := time.Duration(r.LateMS * float64(ms)); late > r.tolerance {
		out = append(out, fmt.Sprintf("the lab itself stood still for %v: its observers were late", late.Round(ms)))
	}
	if r.lost > 0 {
		out = append(out, fmt.Sprintf("%d commands found no room in the nodes' record", r.lost))
	}
	if r.Dropped > 0 {
		out = append(out, fmt.Sprintf("%d tries found no room at the clients", r.Dropped))
	}
	return append(out, r.Unmet...)
}

// Code is the exit code: a break that lateness cannot explain is one, however late the lab was elsewhere.
func (r *Report) Code() int {
	certain := r.verdict.Certain()
	for _, b := range r.Breaks {
		if b.Rule == Quotas {
			certain++
		}
	}
	switch {
	case certain > 0 || len(r.Crashed) > 0:
		return Broken
	case len(r.Doubts()) > 0 || len(r.Breaks) > 0:
		return Unjudged
	}
	return Clean
}
