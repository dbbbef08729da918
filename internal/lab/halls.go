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

// ZoneTrack is what arrived at a zone's backends and what they could do, for each span of the run.
type ZoneTrack struct {
	Zone     string    `json:"Hall"`
	Sends    []float64 `json:"Sends"` // commands a second
	Capacity []float64 `json:"Able"`  // seconds of work a second
	Own      []float64 `json:"Own"`   // share of the sends of the instances that stand there which stayed there; -1 where they sent nothing
}

// Loss is the figures of a hall that was lost, from the clients' and the nodes' records alone.
type Loss struct {
	Before          float64 `json:"Before"`      // worth earned of the best, as below, from a second after the start to the loss
	During          float64 `json:"During"`      // worth earned of what a worth-ordered fill of the true capacity would earn, from the loss to the return
	DuringRequested float64 `json:"DuringAsked"` // the same, of all that was asked inside quotas
	After           float64 `json:"After"`       // the same fill, from 5 s after the return
	RecoverS        float64 `json:"RecoverS"`    // from the loss until nearly (95%) the best was earned again, in whole spans; -1: not while it lasted
	LastSentS       float64 `json:"LastSentS"`   // from a silent loss until the last command went into the lost halls; -1: none did, or they could not be seen
	LongestS        float64 `json:"LongestS"`    // the longest for which a node that returns or survives kept more waiting than the class's aim allows
	SlowStartPush   float64 `json:"ColdPush"`    // the most that a cold node of them was pushed: 1 is the edge
}

const (
	hallSpan  = 500 * ms
	settled   = 5 * time.Second // after a return
	nearBest  = 0.95
	swingFrom = 2 * time.Second // after the start, or a fault, for the swing of the spill
)

// ableTrack samples what the halls could do.
type ableTrack struct {
	sums, counts map[string][]float64
}

func (a *ableTrack) add(hall string, at time.Duration, v float64) {
	k := int(at / hallSpan)
	for len(a.sums[hall]) <= k {
		a.sums[hall], a.counts[hall] = append(a.sums[hall], 0), append(a.counts[hall], 0)
	}
	a.sums[hall][k] += v
	a.counts[hall][k]++
}

// sampleAble watches what the nodes can do, until ctx ends.
func (w *Testbed) sampleAble(began time.Duration, a *ableTrack) {
	now := w.clock() - began
	if now < 0 {
		return
	}
	byHall := map[string]float64{}
	for i, s := range w.specs {
		n, _ := w.node(i)
		byHall[s.Zone] += n.Capacity()
	}
	for hall, v := range byHall {
		a.add(hall, now, v)
	}
}

// halls sums up what each hall was sent, and the figures of a loss.
func (w *Testbed) halls(r *Report, a *ableTrack, wishes []measure.Operation) {
	spans := int(time.Duration(w.day.Length) / hallSpan)
	began := w.load.began
	tracks := map[string]*ZoneTrack{}
	own, all := map[string][]float64{}, map[string][]float64{}
	for _, s := range w.specs {
		if tracks[s.Zone] == nil {
			tracks[s.Zone] = &ZoneTrack{Zone: s.Zone, Sends: make([]float64, spans), Capacity: make([]float64, spans), Own: make([]float64, spans)}
			own[s.Zone], all[s.Zone] = make([]float64, spans), make([]float64, spans)
		}
	}
	for _, rec := range w.fleet.Records(0) {
		k := int((rec.ArrivedAt - began) / hallSpan)
		if rec.ArrivedAt < began || k >= spans {
			continue
		}
		tracks[rec.Zone].Sends[k] += 1 / hallSpan.Seconds()
		home := "hall-" + string(rune('a'+rec.Instance%3))
		if tracks[home] == nil {
			continue
		}
		all[home][k]++
		if rec.Zone == home {
			own[home][k]++
		}
	}
	able := make([]float64, spans)
	for hall, t := range tracks {
		for k := range spans {
			t.Own[k] = -1
			if all[hall][k] > 0 {
				t.Own[k] = own[hall][k] / all[hall][k]
			}
			if k < len(a.sums[hall]) && a.counts[hall][k] > 0 {
				t.Capacity[k] = a.sums[hall][k] / a.counts[hall][k]
			}
			able[k] += t.Capacity[k]
		}
		r.Zones = append(r.Zones, *t)
	}
	slices.SortFunc(r.Zones, func(a, b ZoneTrack) int { return strings.Compare(a.Zone, b.Zone) })
	if l := w.day.Loss; l != nil {
		r.Loss = w.loss(time.Duration(l.From), time.Duration(l.To), l.Zones, able, wishes)
	}
	r.Swing = swing(r.Zones, r.Marks)
}

func (w *Testbed) loss(from, to time.Duration, lost []string, able []float64, wishes []measure.Operation) *Loss {
	mc, mp := worths(w.classes, w.plans)
	work := map[string]time.Duration{}
	for _, c := range w.classes {
		work[c.name] = c.work.Mean()
	}
	fills := measure.AttainmentPerSpan(mc, mp, work, wishes, able, hallSpan)
	out := &Loss{RecoverS: -1, LastSentS: -1}
	var before, during, after measure.Attainment
	for k, f := range fills {
		at := time.Duration(k) * hallSpan
		switch {
		case at >= time.Second && at < from:
			before = before.Add(f)
		case at >= from && at < to:
			during = during.Add(f)
			if out.RecoverS < 0 && f.Ratio() >= nearBest {
				out.RecoverS = (at - from).Seconds()
			}
		case at >= to+settled:
			after = after.Add(f)
		}
	}
	out.Before, out.During, out.After, out.DuringRequested = before.Ratio(), during.Ratio(), after.Ratio(), 1
	if during.Requested > 0 {
		out.DuringRequested = during.Earned / during.Requested
	}
	began := w.load.began
	for _, rec := range w.fleet.Records(0) {
		inHall := slices.Contains(lost, strings.TrimPrefix(rec.Zone, "hall-"))
		if rec.Fate == backend.CutOff && inHall && rec.ArrivedAt >= began+from && rec.ArrivedAt < began+to {
			out.LastSentS = max(out.LastSentS, (rec.ArrivedAt - began - from).Seconds())
		}
	}
	for _, n := range w.fleet.Backends() {
		out.SlowStartPush = max(out.SlowStartPush, n.Pushed())
	}
	out.LongestS = w.longestQueue()
	return out
}

// longestQueue is for how long, at the most, every command that came to a node began so late that its class's aim was gone
// already: a queue past its aim.
func (w *Testbed) longestQueue() float64 {
	aims := map[string]time.Duration{}
	for _, c := range w.classes {
		aims[c.name] = c.aim
	}
	type run struct{ from, to time.Duration }
	runs := map[string]*run{}
	most := time.Duration(0)
	for _, rec := range w.fleet.Records(0) {
		if rec.Fate != backend.Ran {
			continue
		}
		x := runs[rec.Backend]
		if rec.EndedAt-rec.ArrivedAt <= aims[rec.Class] {
			delete(runs, rec.Backend)
			continue
		}
		if x == nil {
			runs[rec.Backend] = &run{rec.ArrivedAt, rec.ArrivedAt}
			continue
		}
		x.to = rec.ArrivedAt
		most = max(most, x.to-x.from)
	}
	return most.Seconds()
}

// swing is the largest change, from one second to the next, of the share that leaves the own hall, over all instances
// together, apart from the seconds around what the timeline did.
func swing(halls []ZoneTrack, marks []Mark) float64 {
	if len(halls) == 0 {
		return 0
	}
	per := int(time.Second / hallSpan)
	n := len(halls[0].Own) / per
	share := make([]float64, n)
	for k := range n {
		sum, parts := 0.0, 0.0
		for _, h := range halls {
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
	most := 0.0
	for k := 1; k < n; k++ {
		calm := k >= int(swingFrom.Seconds())
		for _, m := range marks {
			calm = calm && !(float64(k) >= m.AtS-1 && float64(k) < m.AtS+swingFrom.Seconds()+1)
		}
		if d := math.Abs(share[k] - share[k-1]); calm && d > most {
			most = d
		}
	}
	return most
}

// Text is the loss in a line.
func (l *Loss) Text() string {
	return fmt.Sprintf("loss: %.3f of the best before it, %.3f while it lasted (%.3f of what was asked), %.3f from 5 s after the return; near the best after %.1f s; last command into it after %.2f s; "+
		"cold nodes pushed to %.2f of the edge; longest queue past its aim %.1f s", l.Before, l.During, l.DuringRequested, l.After, l.RecoverS, l.LastSentS, l.SlowStartPush, l.LongestS)
}
