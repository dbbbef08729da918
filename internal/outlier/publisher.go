package outlier

import (
	"maps"
	"time"

	"hitchspring/policy"
)

// minPublishInterval is the minimum time between two publications on a backend unless the second one is urgent.
const minPublishInterval = 50 * time.Millisecond

// Publisher decides which of this instance's observations its peers need. It is not safe for concurrent use.
type Publisher struct {
	published map[policy.BackendID]publication // last publication on each backend
}

// publication describes the last published observation of a backend.
type publication struct {
	publishedAt time.Duration
	observedAt  time.Duration
	adverse     bool
	fullWeight  bool // the observation had its full weight
}

// NewPublisher returns a publisher that has published nothing.
func NewPublisher() *Publisher { return &Publisher{published: map[policy.BackendID]publication{}} }

// HasPublished reports whether an observation of a backend was published, so that its later changes must be published
// too.
func (p *Publisher) HasPublished(backend policy.BackendID) bool {
	_, published := p.published[backend]
	return published
}

// Select returns the observations to publish now, and records them as published: the adverse ones, and the favorable
// ones that contradict an adverse one of a peer or of this instance. reportedOnsets holds, by backend, the time after
// which a success of this instance contradicts the reports of its peers. Backends that are not in own are dropped.
func (p *Publisher) Select(
	now time.Duration, own []Observation, reportedOnsets map[policy.BackendID]time.Duration,
) []Observation {
	var selected []Observation
	present := map[policy.BackendID]bool{}
	for _, o := range own {
		present[o.Backend] = true
		onset, reported := reportedOnsets[o.Backend]
		if next, due := p.next(now, o, onset, reported); due {
			p.published[o.Backend] = next
			selected = append(selected, o)
		}
	}
	maps.DeleteFunc(p.published, func(id policy.BackendID, _ publication) bool { return !present[id] })
	return selected
}

// next returns the publication of an observation, and whether it is due. If reported is true, peers report a fault of
// the backend that began at onset.
func (p *Publisher) next(now time.Duration, o Observation, onset time.Duration, reported bool) (publication, bool) {
	last, published := p.published[o.Backend]
	next := publication{
		publishedAt: now,
		observedAt:  o.ObservedAt(),
		adverse:     o.IsAdverse(),
		fullWeight:  max(o.SuccessEvidence, o.FailureEvidence) >= fullWeight,
	}
	defends := reported && o.LastSuccess > onset
	urgent := next.adverse != last.adverse || defends && next.fullWeight && !last.fullWeight
	if urgent {
		return next, true
	}
	switch {
	case next.observedAt <= last.observedAt: // no new event since the last publication
		return next, false
	case !next.adverse && (!defends || last.observedAt > onset): // no peer needs another favorable observation
		return next, false
	case published && now-last.publishedAt < minPublishInterval:
		return next, false
	}
	return next, true
}
