package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DeltasFor returns what the sender of a digest lacks, in about maxBytes at
// most; the facts of each owner come oldest first. A new incarnation is
// reported even while it has no facts, since it invalidates those of the ended
// one.
func (s *Store) DeltasFor(now time.Duration, d Digest, maxBytes int) []Delta {
	var deltas []Delta
	watermarks := d.byOwner()
	start := 0
	if n := len(s.byHash); n > 0 { // another owner first each time, so that a full response starves none
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

// deltaSince returns the owner's facts above a watermark, as many as fit into
// maxBytes, and the bytes that are left: negative if not all of them fitted.
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

// HasMore reports whether the sender of a digest lacks more than the deltas
// that are sent in response.
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
