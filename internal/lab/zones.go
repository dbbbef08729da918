package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/lab/measure"
	"hitchspring/internal/standin/backend"
)

// ZoneTrack records the load and the capacity of a zone's backends for each span of the run.
type ZoneTrack struct {
	Zone     string    `json:"Hall"`
	Sends    []float64 `json:"Sends"` // commands per second
	Capacity []float64 `json:"Able"`  // seconds of work per second
	Own      []float64 `json:"Own"`   // fraction of its instances' commands that stayed in the zone; -1: no commands
}

// Loss holds the metrics of a zone outage, computed only from the records of clients and backends.
// "Attained" values are relative to what filling the true capacity in order of priority would have earned.
type Loss struct {
	Before          float64 `json:"Before"`      // attained from one second after the start until the outage
	During          float64 `json:"During"`      // attained during the outage
	DuringRequested float64 `json:"DuringAsked"` // earned during the outage, relative to all requests within quotas
	After           float64 `json:"After"`       // attained from 5 s after the zones returned
	RecoveryS       float64 `json:"RecoverS"`    // from the outage until 95% was attained again, in spans; -1: never
	LastSentS       float64 `json:"LastSentS"`   // from a silent outage to the last command to its zones; -1: none
	LongestQueueS   float64 `json:"LongestS"`    // longest time for which a backend missed all latency objectives
	SlowStartPush   float64 `json:"ColdPush"`    // maximum pressure on a backend in slow start; 1 is the overload limit
}

const (
	zoneSpan        = 500 * ms
	settleTime      = 5 * time.Second // wait after the return of a zone
	recoveredRatio  = 0.95
	spillSettleTime = 2 * time.Second // wait after the start or a fault before the spill is measured
)

// capacityTrack sums the samples of each zone's capacity by span.
type capacityTrack struct {
	sums, counts map[string][]float64
}

func (a *capacityTrack) add(zone string, at time.Duration, v float64) {
	k := int(at / zoneSpan)
	for len(a.sums[zone]) <= k {
		a.sums[zone], a.counts[zone] = append(a.sums[zone], 0), append(a.counts[zone], 0)
	}
	a.sums[zone][k] += v
	a.counts[zone][k]++
}

// sampleCapacity adds one sample of the capacity of each zone.
func (tb *Testbed) sampleCapacity(startedAt time.Duration, a *capacityTrack) {
	now := tb.clock() - startedAt
	if now < 0 {
		return
	}
	byZone := map[string]float64{}
	for i, s := range tb.specs {
		n, _ := tb.backendAt(i)
		byZone[s.Zone] += n.Capacity()
	}
	for zone, v := range byZone {
		a.add(zone, now, v)
	}
}

// addZones adds the track of each zone, the largest change of the spill, and the metrics of a zone outage to r.
func (tb *Testbed) addZones(r *Report, a *capacityTrack, operations []measure.Operation) {
	spans := int(time.Duration(tb.scenarioConfig.Length) / zoneSpan)
	startedAt := tb.load.startedAt
	tracks := map[string]*ZoneTrack{}
	own, all := map[string][]float64{}, map[string][]float64{}
	for _, s := range tb.specs {
		if tracks[s.Zone] == nil {
			tracks[s.Zone] = &ZoneTrack{Zone: s.Zone, Sends: make([]float64, spans), Capacity: make([]float64, spans), Own: make([]float64, spans)}
			own[s.Zone], all[s.Zone] = make([]float64, spans), make([]float64, spans)
		}
	}
	for _, rec := range tb.fleet.Records(0) {
		k := int((rec.ArrivedAt - startedAt) / zoneSpan)
		if rec.ArrivedAt < startedAt || k >= spans {
			continue
		}
		tracks[rec.Zone].Sends[k] += 1 / zoneSpan.Seconds()
		home := "hall-" + string(rune('a'+rec.Instance%3))
		if tracks[home] == nil {
			continue
		}
		all[home][k]++
		if rec.Zone == home {
			own[home][k]++
		}
	}
	capacity := make([]float64, spans)
	for zone, t := range tracks {
		for k := range spans {
			t.Own[k] = -1
			if all[zone][k] > 0 {
				t.Own[k] = own[zone][k] / all[zone][k]
			}
			if k < len(a.sums[zone]) && a.counts[zone][k] > 0 {
				t.Capacity[k] = a.sums[zone][k] / a.counts[zone][k]
			}
			capacity[k] += t.Capacity[k]
		}
		r.Zones = append(r.Zones, *t)
	}
	slices.SortFunc(r.Zones, func(a, b ZoneTrack) int { return strings.Compare(a.Zone, b.Zone) })
	if l := tb.scenarioConfig.Loss; l != nil {
		r.Loss = tb.zoneLoss(time.Duration(l.From), time.Duration(l.To), l.Zones, capacity, operations)
	}
	r.MaxSpillChange = maxSpillChange(r.Zones, r.Events)
}

func (tb *Testbed) zoneLoss(from, to time.Duration, lost []string, capacity []float64, operations []measure.Operation) *Loss {
	classWeights, planWeights := scoreWeights(tb.classes, tb.plans)
	work := map[string]time.Duration{}
	for _, c := range tb.classes {
		work[c.name] = c.work.Mean()
	}
	attainments := measure.AttainmentPerSpan(classWeights, planWeights, work, operations, capacity, zoneSpan)
	out := &Loss{RecoveryS: -1, LastSentS: -1}
	var before, during, after measure.Attainment
	for k, f := range attainments {
		at := time.Duration(k) * zoneSpan
		switch {
		case at >= time.Second && at < from:
			before = before.Add(f)
		case at >= from && at < to:
			during = during.Add(f)
			if out.RecoveryS < 0 && f.Ratio() >= recoveredRatio {
				out.RecoveryS = (at - from).Seconds()
			}
		case at >= to+settleTime:
			after = after.Add(f)
		}
	}
	out.Before, out.During, out.After, out.DuringRequested = before.Ratio(), during.Ratio(), after.Ratio(), 1
	if during.Requested > 0 {
		out.DuringRequested = during.Earned / during.Requested
	}
	startedAt := tb.load.startedAt
	for _, rec := range tb.fleet.Records(0) {
		inLostZone := slices.Contains(lost, strings.TrimPrefix(rec.Zone, "hall-"))
		if rec.Outcome == backend.CutOff && inLostZone && rec.ArrivedAt >= startedAt+from && rec.ArrivedAt < startedAt+to {
			out.LastSentS = max(out.LastSentS, (rec.ArrivedAt - startedAt - from).Seconds())
		}
	}
	for _, n := range tb.fleet.Backends() {
		out.SlowStartPush = max(out.SlowStartPush, n.PeakLoad())
	}
	out.LongestQueueS = tb.longestQueue()
	return out
}

// longestQueue returns the longest time for which every command that a backend ran exceeded the latency objective of
// its class.
func (tb *Testbed) longestQueue() float64 {
	objectives := map[string]time.Duration{}
	for _, c := range tb.classes {
		objectives[c.name] = c.latencyObjective
	}
	type run struct{ from, to time.Duration }
	runs := map[string]*run{}
	longest := time.Duration(0)
	for _, rec := range tb.fleet.Records(0) {
		if rec.Outcome != backend.Ran {
			continue
		}
		x := runs[rec.Backend]
		if rec.EndedAt-rec.ArrivedAt <= objectives[rec.Class] {
			delete(runs, rec.Backend)
			continue
		}
		if x == nil {
			runs[rec.Backend] = &run{rec.ArrivedAt, rec.ArrivedAt}
			continue
		}
		x.to = rec.ArrivedAt
		longest = max(longest, x.to-x.from)
	}
	return longest.Seconds()
}

// maxSpillChange returns the largest change from one second to the next of the fraction of commands that leave their
// zone, averaged over zones. It ignores the seconds around injected faults.
func maxSpillChange(zones []ZoneTrack, marks []TimelineEvent) float64 {
	if len(zones) == 0 {
		return 0
	}
	per := int(time.Second / zoneSpan)
	n := len(zones[0].Own) / per
	share := make([]float64, n)
	for k := range n {
		sum, parts := 0.0, 0.0
		for _, h := range zones {
			for j := k * per; j < (k+1)*per; j++ {
				if h.Own[j] >= 0 {
					sum, parts = sum+1-h.Own[j], parts+1
				}
			}
		}
		share[k] = math.NaN()
		if parts > 0 {
			share[k] = sum / parts
		}
	}
	maxValue := 0.0
	for k := 1; k < n; k++ {
		undisturbed := k >= int(spillSettleTime.Seconds())
		for _, m := range marks {
			undisturbed = undisturbed && !(float64(k) >= m.AtS-1 && float64(k) < m.AtS+spillSettleTime.Seconds()+1)
		}
		if d := math.Abs(share[k] - share[k-1]); undisturbed && d > maxValue {
			maxValue = d
		}
	}
	return maxValue
}

// Text formats the metrics as one line.
func (l *Loss) Text() string {
	return fmt.Sprintf("loss: %.3f of the best before it, %.3f while it lasted (%.3f of what was asked), %.3f from 5 s after the return; near the best after %.1f s; last command into it after %.2f s; "+
		"cold nodes pushed to %.2f of the edge; longest queue past its aim %.1f s", l.Before, l.During, l.DuringRequested, l.After, l.RecoveryS, l.LastSentS, l.SlowStartPush, l.LongestQueueS)
}
