package outlier

import (
	"math"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	quorum             = 2                      // instances that must report a backend to eject it, this one included
	minFaultDuration   = 200 * time.Millisecond // a shorter fault may be a momentary queue at the backend
	minReportWeight    = 0.05                   // an adverse report of less weight is ignored
	maxEjectedFraction = 0.25                   // of all backends; if a quorum reports more, none is ejected
	maxSlowness        = 8.0
	minHalfLife        = 0.1 // seconds
)

// The reasons for an assessment, as shown to operators.
const (
	reasonOneRemoteZone  = "only one hall speaks against it, and it is not this one"
	reasonServesHere     = "it serves this instance"
	reasonOneReporter    = "one instance's word"
	reasonRecentOnset    = "it has not lasted"
	reasonDefended       = "as many speak for it"
	reasonEjected        = "blamed"
	reasonTooManyEjected = "too many nodes are blamed at once"
)

// PeerObservation is an observation that was made by another instance, the owner.
type PeerObservation struct {
	Owner string
	Zone  string // of the owner; "": unknown
	Observation
}

// Config holds the settings of Assess.
type Config struct {
	Zone     string        // of this instance
	HalfLife time.Duration // of a backend's slowness, as in the policy module
}

// Assessment is the combined verdict of all instances on one backend. Reporters and Defenders hold peer names, and ""
// for this instance.
type Assessment struct {
	Backend      policy.BackendID
	Slowness     float64 // expected multiple of the usual latency, 1 to maxSlowness; 1: healthy
	Cause        Cause   // most severe cause that peers report; NoCause if Slowness is 1
	Reporters    []string
	Defenders    []string      // instances that the backend has served since the fault began
	AdverseCount int           // instances that report against it, even if their reports don't count
	Reason       string        // why the backend is ejected or not; "": no peer reports against it
	Age          time.Duration // age of the second most recent failure in the reports that count
	Since        time.Duration // earliest onset among the reporters; 0: healthy
}

// weightedReport is a peer's observation with its weight, 0 to 1.
type weightedReport struct {
	PeerObservation
	weight float64
}

// Assess combines the evidence on one backend: own is this instance's observation, reports are those of its peers on
// the same start of the backend, at most one per owner.
//
//   - An owner's weight is at most 1, however much it has seen and however often it reports.
//   - An ejection requires a total weight above 1, and reports from at least quorum owners.
//   - The weight of a report is reduced by that of each owner that the backend has served since the onset of the
//     report. If the backend has served this instance since the latest onset, no peer's report counts.
//   - A fault that began less than minFaultDuration ago doesn't count.
//   - Reports from other zones count only if they come from two zones: a backend may fail for one zone alone.
func Assess(now time.Duration, cfg Config, own Observation, reports []PeerObservation) Assessment {
	result := Assessment{Backend: own.Backend, Slowness: 1}
	adverse, favorable := weighReports(now, reports)
	ownAdverse := own.isRecentlyAdverse(now)
	result.AdverseCount = len(adverse) + boolToInt(ownAdverse)
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
	firstOnset, lastOnset := firstAndLastOnset(adverse)
	if own.LastSuccess > lastOnset && own.LastSuccess > own.LastFailure {
		result.Defenders = append(result.Defenders, "")
		result.Reason = reasonServesHere
		return result
	}
	pool := poolEvidence(adverse, favorable)
	for _, f := range favorable {
		if f.LastSuccess > firstOnset {
			pool.success += min(f.SuccessEvidence, fullWeight)
			result.Defenders = append(result.Defenders, f.Owner)
		}
	}
	if ownAdverse {
		result.Reporters = append(result.Reporters, "")
		pool.weight += min(1, own.FailureEvidence/fullWeight)
		pool.failure += min(own.FailureEvidence, fullWeight)
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
		result.Reason = reasonDefended
		return result
	}
	result.Cause = mostSevereCause(adverse)
	result.Age = secondLatestFailureAge(now, adverse, own, ownAdverse)
	retained := math.Exp2(-result.Age.Seconds() / max(cfg.HalfLife.Seconds(), minHalfLife))
	result.Slowness = 1 + (maxSlowness-1)*pool.failure/(pool.failure+pool.success+0.5)*share*retained
	result.Reason = reasonEjected
	result.Since = firstOnset
	return result
}

// weighReports splits the reports that still have weight into adverse and favorable ones.
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

// selectByZone returns the adverse reports that count. If this zone has a quorum, including this instance's own
// evidence, only the reports from this zone count. Otherwise all count if they come from a quorum of zones; if not,
// enough is false.
func selectByZone(zone string, adverse []weightedReport, ownAdverse bool) (selected []weightedReport, enough bool) {
	local := slices.DeleteFunc(slices.Clone(adverse), func(a weightedReport) bool { return a.Zone != zone })
	if len(local)+boolToInt(ownAdverse) >= quorum {
		return local, true
	}
	zones := map[string]bool{}
	for _, a := range adverse {
		zones[a.Zone] = true
	}
	return adverse, len(zones)+boolToInt(ownAdverse && !zones[zone]) >= quorum
}

// firstAndLastOnset returns the earliest and the latest onset among the reports.
func firstAndLastOnset(adverse []weightedReport) (first, last time.Duration) {
	for _, a := range adverse {
		last = max(last, a.Onset)
		if first == 0 || a.Onset < first {
			first = a.Onset
		}
	}
	return first, last
}

// evidencePool is the sum of the evidence of several instances, at most fullWeight of each.
type evidencePool struct {
	weight  float64 // sum of the weights of the adverse reports
	failure float64
	success float64
}

// poolEvidence sums up the adverse reports. Each report is reduced by the weight of the owners that were served after
// its onset.
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
		pool.failure += min(a.FailureEvidence, fullWeight) * undefended
	}
	return pool
}

// mostSevereCause returns the most severe cause among the reports.
func mostSevereCause(adverse []weightedReport) Cause {
	mostSevere := NoCause
	for _, a := range adverse {
		if mostSevere == NoCause || a.Cause < mostSevere {
			mostSevere = a.Cause
		}
	}
	return mostSevere
}

// secondLatestFailureAge returns the age of the second most recent failure among the last failures of all reporters, so
// that one instance alone can't keep a backend ejected.
func secondLatestFailureAge(
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

// boolToInt returns 1 if b is true, else 0.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// LimitEjections lifts all ejections if a quorum reports against more than maxEjectedFraction of the backends: then all
// backends are slow at once, or part of the network is, and the backends are not the cause. It reports whether the
// limit applied.
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
