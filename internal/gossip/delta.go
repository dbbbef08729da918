package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DeltasFor returns what the sender of a digest does not have, limited to about
// maxBytes. The facts of each owner are ordered by ascending sequence. A new
// incarnation is included even if it has no facts yet, since it invalidates the
// facts of the previous one.
func (s *Store) DeltasFor(now time.Duration, d Digest, maxBytes int) []Delta {
	var deltas []Delta
	watermarks := d.byOwner()
	start := 0
	if n := len(s.byHash); n > 0 { // start at a different owner each time, so that full responses starve no owner
		start = int(uint64(now/time.Millisecond) % uint64(n))
	}
	for i := range s.byHash {
		owner := s.byHash[(start+i)%len(s.byHash)]
		watermark, named := watermarks[owner.name]
		if !d.requests(owner, named) || !owner.aheadOf(watermark) {
			continue
		}
		if maxBytes -= deltaHeaderBytes + len(owner.name); maxBytes < 0 {
			break
		}
		var delta Delta
		delta, maxBytes = owner.deltaSince(now, watermark, maxBytes)
		if delta.To > delta.From || watermark.Incarnation < owner.incarnation {
			deltas = append(deltas, delta)
		}
		if maxBytes < 0 {
			break
		}
	}
	return deltas
}

// deltaSince returns as many of the owner's facts above a watermark as fit into
// maxBytes. It also returns the remaining bytes, which are negative if not all
// facts fit.
func (o *ownerRecord) deltaSince(now time.Duration, w Watermark, maxBytes int) (Delta, int) {
	delta := Delta{Owner: o.name, Incarnation: o.incarnation, To: o.completeThrough}
	if w.Incarnation == o.incarnation {
		delta.From = w.Seq
	}
	bySequence := slices.SortedFunc(maps.Values(o.facts), func(a, b *Fact) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, fact := range bySequence {
		if fact.Seq <= delta.From {
			continue
		}
		maxBytes -= factHeaderBytes + len(fact.Kind) + len(fact.Subject) + len(fact.Data)
		if maxBytes < 0 {
			delta.To = delta.From
			if n := len(delta.Facts); n > 0 {
				delta.To = delta.Facts[n-1].Seq
			}
			break
		}
		age := max(0, now-fact.ObservedAt).Microseconds()
		delta.Facts = append(delta.Facts, DeltaFact{fact.Kind, fact.Subject, fact.Seq, age, fact.Data})
	}
	return delta, maxBytes
}

// HasMore reports whether the sender of a digest will still lack facts after it has
// merged the deltas that are sent in response.
func (s *Store) HasMore(d Digest, sent []Delta) bool {
	watermarks := d.byOwner()
	for _, delta := range sent {
		watermarks[delta.Owner] = Watermark{delta.Owner, delta.Incarnation, delta.To}
	}
	for _, owner := range s.byHash {
		watermark, named := watermarks[owner.name]
		if d.requests(owner, named) && owner.aheadOf(watermark) {
			return true
		}
	}
	return false
}
