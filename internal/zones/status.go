package zones

import (
	"fmt"
	"time"

	"hitchspring/policy"
)

// grayFailureShare is the share of its nominal capacity below which a zone that is up has a gray failure.
const grayFailureShare = 0.5

// Status is the state of all zones, for operators and metrics. It shares no memory with the tracker.
type Status struct {
	Own            string       `json:"own"`     // this instance's zone
	AvailableShare float64      `json:"reach"`   // share of the nominal capacity of all zones that is available
	Panic          bool         `json:"panic"`   // panic mode: no zone is preferred
	PlannedSpill   float64      `json:"planned"` // minimum share of this instance's load to send to other zones
	Spilled        float64      `json:"spilled"` // share that was sent to other zones, over about the last second
	Reason         string       `json:"why"`     // reason for the spill
	Zones          []ZoneStatus `json:"halls"`   // by name
}

// ZoneStatus is the state of one zone.
type ZoneStatus struct {
	Name            string        `json:"name"`
	Priority        int           `json:"tier"`          // locality priority; 0: own, 1: near, 2: any other
	State           string        `json:"state"`         // a State's name
	Since           time.Duration `json:"since_ns"`      // time spent in that state
	Reason          string        `json:"why,omitempty"` // reason for the state
	GrayFailure     bool          `json:"grey"`          // up, with less than half of its nominal capacity
	Backends        int           `json:"nodes"`         // running backends, by the endpoint list
	Proven          int           `json:"proven"`        // running backends that are neither unhealthy nor unproven
	NominalCapacity float64       `json:"nominal"`       // highest recent capacity, in mean backends after slow start
	Capacity        float64       `json:"capacity"`      // present capacity, in the same unit
	Offered         float64       `json:"offered"`       // attempts a second that this instance sends there
	Answered        float64       `json:"answered"`      // answers a second
	LateShare       float64       `json:"late"`          // share of attempts that ended late or with a failure
	AttemptShare    float64       `json:"share"`         // of this instance's attempts
	RampShare       float64       `json:"ramp"`          // share of its full rate that the recovery ramp allows
	RateLimit       float64       `json:"rate"`          // limit of attempts a second; unlimited if below 0
	Price           float64       `json:"price"`         // relative to a backend of the own zone with the same load
	Caution         int           `json:"caution"`       // caution steps, each of which doubles the recovery ramp
}

// Status returns the state as of now.
func (t *Tracker) Status(now time.Duration) Status {
	status := Status{
		Own:            t.cfg.Own,
		AvailableShare: t.availableShare,
		Panic:          t.panicking,
		PlannedSpill:   t.plannedSpill,
		Reason:         t.spillReason(),
	}
	total := 0.0 // attempts a second
	for _, z := range t.sortedZones {
		total += z.sent.get(now)
	}
	spilled := 0.0 // of these, to other zones
	for _, z := range t.sortedZones {
		zoneStatus := t.zoneStatus(now, z)
		if total > 0 {
			zoneStatus.AttemptShare = zoneStatus.Offered / total
		}
		if z.priority != ownZone {
			spilled += zoneStatus.Offered
		}
		status.Zones = append(status.Zones, zoneStatus)
	}
	if total > 0 {
		status.Spilled = spilled / total
	}
	return status
}

// zoneStatus returns the status of one zone, without its share of the attempts.
func (t *Tracker) zoneStatus(now time.Duration, z *zone) ZoneStatus {
	status := ZoneStatus{
		Name:            z.name,
		Priority:        int(z.priority),
		State:           z.state.String(),
		Since:           now - z.stateSince,
		Reason:          z.reason,
		GrayFailure:     z.state == Up && z.nominal > 0 && z.capacity < grayFailureShare*z.nominal,
		NominalCapacity: z.nominal,
		Capacity:        z.capacity,
		Offered:         z.sent.get(now),
		Answered:        z.answered.get(now),
		LateShare:       lateShare(z.late.get(now), z.ended.get(now)),
		RampShare:       z.rampShare,
		RateLimit:       z.rateLimit,
		Price:           z.price,
		Caution:         z.caution,
	}
	for _, b := range z.backends {
		if b.State == policy.Running {
			status.Backends++
		}
		if t.capacity(now, b) > 0 {
			status.Proven++
		}
	}
	return status
}

// spillReason returns why load is sent to other zones, as shown to operators.
func (t *Tracker) spillReason() string {
	own := t.zones[t.cfg.Own]
	switch {
	case t.panicking:
		return fmt.Sprintf("panic: %.0f%% of all capacity is to be had, below %.0f%% no hall is preferred",
			100*t.availableShare, 100*t.cfg.Panic)
	case own == nil:
		return fmt.Sprintf("no node of the own hall %q is listed", t.cfg.Own)
	case own.state != Up:
		return fmt.Sprintf("the own hall is %v: %s", own.state, own.reason)
	case t.retainedShare(own) < 1:
		return fmt.Sprintf("the own hall can take %.1f of %.1f usual nodes", own.capacity, own.nominal)
	case t.preferenceReduction > 0:
		return fmt.Sprintf("the own hall answers later than the others: %.0f%% of the preference is given up",
			100*t.preferenceReduction)
	}
	return "a node elsewhere has less to do by more than its hall's price"
}
