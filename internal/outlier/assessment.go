package outlier

import (
	"math"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	quorum             = 2                      // instances that must report against a backend, this one included
	minFaultDuration   = 200 * time.Millisecond // a shorter fault may be a momentary queue
	minReportWeight    = 0.05                   // an adverse report of less weight is ignored
	maxEjectedFraction = 0.25                   // of all backends; where more are reported by a quorum, none is ejected
	maxSlowness        = 8.0
	minHalfLife        = 0.1 // seconds
)

// The reasons of an Assessment, as operators see them.
const (
	reasonOneRemoteZone   = "only one hall speaks against it, and it is not this one"
	reasonServesHere      = "it serves this instance"
	reasonOneReporter     = "one instance's word"
	reasonRecentOnset     = "it has not lasted"
	reasonAsManyDefenders = "as many speak for it"
	reasonEjected         = "blamed"
	reasonTooManyEjected  = "too many nodes are blamed at once"
)

// PeerObservation is another instance's observation, with the instance that made it.
type PeerObservation struct {
	Owner string
	Zone  string // of the owner; "": not known
	Observation
}

// Config holds the settings of Assess.
type Config struct {
	Zone     string        // of this instance
	HalfLife time.Duration // in which half of a backend's slowness is forgotten, as in the policy module
}

// Assessment is the pooled judgement on one backend. An instance is named in Reporters and Defenders by its peer name,
// this instance by "".
type Assessment struct {
	Backend      policy.BackendID
	Slowness     float64 // multiple of the usual latency to reckon with, 1 to maxSlowness; 1: healthy
	Cause        Cause   // the gravest cause that peers report; NoCause where Slowness is 1
	Reporters    []string
	Defenders    []string      // instances that the backend has served since the fault began
	AdverseCount int           // instances that report against it, whether or not they count
	Reason       string        // how the assessment came about; "": nobody reports against it
	Age          time.Duration // of the second youngest failure among those that count
	Since        time.Duration // when the fault began for the first reporter; 0: healthy
}

// weightedReport is a peer's observation with the weight of its owner, 0 to 1.
type weightedReport struct {
	PeerObservation
	weight float64
}

// Assess pools the evidence on one backend: own is this instance's observation, reports are those of its peers on the
// same start of the backend, at most one an owner.
//
//   - An owner's weight is at most 1, however much it has seen and however often it reports.
//   - An ejection takes more weight than one owner has, and at least quorum owners.
//   - An owner that the backend has served since a reporter's fault began outweighs that report. If this instance is
//     that owner, and was served after the last reporter's fault began, no peer's report counts.
//   - A fault that began less than minFaultDuration ago doesn't count.
//   - Reports from other zones count only if they come from two zones: a backend may fail for one zone alone.
func Assess(now time.Duration, cfg Config, own Observation, reports []PeerObservation) Assessment {
	result := Assessment{Backend: own.Backend, Slowness: 1}
	adverse, favorable := weighReports(now, reports)
	ownAdverse := own.isRecentlyAdverse(now)
	result.AdverseCount = len(adverse) + countIf(ownAdverse)
	if len(adverse) == 0 {
		return result
	}
	adverse, enoughZones := selectByZone(cfg.Zone, adverse, ownAdverse)
	if !enoughZones {
		result.Reason = reasonOneRemoteZone
		return result
	}
	for _, a := range adverse {
		result.Reporters = append(result.Reporters, a.Owner)
	}
	firstOnset, lastOnset := onsets(adverse)
	if own.LastSuccess > lastOnset && own.LastSuccess > own.LastFailure {
		result.Defenders = append(result.Defenders, "")
		result.Reason = reasonServesHere
		return result
	}
	pool := poolEvidence(adverse, favorable)
	for _, f := range favorable {
		if f.LastSuccess > firstOnset {
			pool.good += min(f.SuccessEvidence, fullWeight)
			result.Defenders = append(result.Defenders, f.Owner)
		}
	}
	if ownAdverse {
		result.Reporters = append(result.Reporters, "")
		pool.weight += min(1, own.FailureEvidence/fullWeight)
		pool.bad += min(own.FailureEvidence, fullWeight)
		firstOnset = min(firstOnset, own.Onset)
	}
	switch {
	case len(result.Reporters) < quorum:
		result.Reason = reasonOneReporter
		return result
	case now-firstOnset < minFaultDuration:
		result.Reason = reasonRecentOnset
		return result
	}
	share := min(1, max(0, pool.weight-1))
	if share == 0 {
		result.Reason = reasonAsManyDefenders
		return result
	}
	result.Cause = gravestCause(adverse)
	result.Age = secondYoungestFailure(now, adverse, own, ownAdverse)
	retained := math.Exp2(-result.Age.Seconds() / max(cfg.HalfLife.Seconds(), minHalfLife))
	result.Slowness = 1 + (maxSlowness-1)*pool.bad/(pool.bad+pool.good+0.5)*share*retained
	result.Reason = reasonEjected
	result.Since = firstOnset
	return result
}

// weighReports parts the reports that still have weight into those against the backend and those for it.
func weighReports(now time.Duration, reports []PeerObservation) (adverse, favorable []weightedReport) {
	for _, r := range reports {
		switch {
		case r.isRecentlyAdverse(now):
			if weight := min(1, r.FailureEvidence/fullWeight); weight > minReportWeight {
				adverse = append(adverse, weightedReport{r, weight})
			}
		case r.LastSuccess > 0 && now-r.LastSuccess <= Horizon:
			favorable = append(favorable, weightedReport{r, min(1, r.SuccessEvidence/fullWeight)})
		}
	}
	return adverse, favorable
}

// selectByZone returns the adverse reports that count. Where this zone has a quorum, with this instance's own evidence,
// only its reports do. Else all count, provided that they come from a quorum of zones; it reports false if not.
func selectByZone(zone string, adverse []weightedReport, ownAdverse bool) (selected []weightedReport, enough bool) {
	local := slices.DeleteFunc(slices.Clone(adverse), func(a weightedReport) bool { return a.Zone != zone })
	if len(local)+countIf(ownAdverse) >= quorum {
		return local, true
	}
	zones := map[string]bool{}
	for _, a := range adverse {
		zones[a.Zone] = true
	}
	return adverse, len(zones)+countIf(ownAdverse && !zones[zone]) >= quorum
}

// onsets returns when the fault began for the first and for the last of the reporters.
func onsets(adverse []weightedReport) (first, last time.Duration) {
	for _, a := range adverse {
		last = max(last, a.Onset)
		if first == 0 || a.Onset < first {
			first = a.Onset
		}
	}
	return first, last
}

// evidencePool is the evidence of several instances, each bounded by fullWeight.
type evidencePool struct {
	weight float64 // of the adverse reports
	bad    float64
	good   float64
}

// poolEvidence sums up the adverse reports, each as far as no defender was served after its onset.
func poolEvidence(adverse, favorable []weightedReport) evidencePool {
	var pool evidencePool
	for _, a := range adverse {
		undefended := 1.0
		for _, f := range favorable {
			if f.LastSuccess > a.Onset {
				undefended = max(0, undefended-f.weight)
			}
		}
		pool.weight += a.weight * undefended
		pool.bad += min(a.FailureEvidence, fullWeight) * undefended
	}
	return pool
}

// gravestCause returns the gravest cause among the reports.
func gravestCause(adverse []weightedReport) Cause {
	gravest := NoCause
	for _, a := range adverse {
		if gravest == NoCause || a.Cause < gravest {
			gravest = a.Cause
		}
	}
	return gravest
}

// secondYoungestFailure returns the age up to which two instances have seen failures, so that one instance alone can't
// keep a backend ejected.
func secondYoungestFailure(
	now time.Duration, adverse []weightedReport, own Observation, ownAdverse bool,
) time.Duration {
	var ages []time.Duration
	for _, a := range adverse {
		ages = append(ages, now-a.LastFailure)
	}
	if ownAdverse {
		ages = append(ages, now-own.LastFailure)
	}
	slices.Sort(ages)
	return ages[min(1, len(ages)-1)]
}

// countIf returns 1 if b holds, else 0.
func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// LimitEjections lifts all ejections where a quorum reports against more than maxEjectedFraction of the backends: then
// all are slow at once, or a part's network is, and the backends are not the cause. It reports whether it did.
func LimitEjections(assessments []Assessment, backends int) bool {
	suspected := 0
	for _, a := range assessments {
		if a.AdverseCount >= quorum {
			suspected++
		}
	}
	if suspected <= max(1, int(maxEjectedFraction*float64(backends))) {
		return false
	}
	for i := range assessments {
		if a := &assessments[i]; a.Slowness > 1 {
			a.Slowness = 1
			a.Reason = reasonTooManyEjected
		}
	}
	return true
}
