package outlier

import (
	"maps"
	"time"

	"hitchspring/policy"
)

// minPublishInterval is the shortest time between two publications of the same opinion on a backend.
const minPublishInterval = 50 * time.Millisecond

// Publisher decides which of this instance's observations its peers need. It is used by one goroutine at a time.
type Publisher struct {
	published map[policy.BackendID]publication // the last of each backend
}

// publication describes the observation that was last published of a backend.
type publication struct {
	publishedAt time.Duration
	observedAt  time.Duration
	adverse     bool
	fullWeight  bool // it had its owner's full weight
}

// NewPublisher returns a publisher that has published nothing.
func NewPublisher() *Publisher { return &Publisher{published: map[policy.BackendID]publication{}} }

// HasPublished reports whether an observation of a backend was published, and so must be updated.
func (p *Publisher) HasPublished(backend policy.BackendID) bool {
	_, published := p.published[backend]
	return published
}

// Select returns the observations to publish now, and notes them as published: the adverse ones, and the favorable ones
// that answer an adverse one of a peer or of this instance. reportedOnsets has, by backend, the time after which a
// success of this instance answers the reports of its peers. Backends that are not in own are forgotten.
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

// next returns the publication of an observation, and whether it is due. If reported, peers report against the backend
// a fault that began at onset.
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
	case next.observedAt <= last.observedAt: // nothing was seen since
		return next, false
	case !next.adverse && (!defends || last.observedAt > onset): // nobody needs a further defence
		return next, false
	case published && now-last.publishedAt < minPublishInterval:
		return next, false
	}
	return next, true
}
