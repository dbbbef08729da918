package gossip

import (
	"cmp"
	"slices"
)

// NextDigest returns the digest for the next periodic request, with the watermarks
// of as many owners as fit into one message. Successive digests cycle through all
// owners.
func (s *Store) NextDigest() Digest {
	if len(s.byHash) <= maxDigestWatermarks {
		s.nextDigestLow = 0
	}
	d := s.rangeDigest(s.nextDigestLow, hashSpace)
	s.nextDigestLow = d.Hi % hashSpace
	return d
}

// ContinueDigest returns the digest that follows an incomplete response to
// previous. It covers the same owners or the same range of hashes, with current
// watermarks.
func (s *Store) ContinueDigest(previous Digest) Digest {
	if !previous.NamedOnly {
		return s.rangeDigest(previous.Lo, previous.Hi)
	}
	d := Digest{Lo: previous.Lo, Hi: previous.Hi, NamedOnly: true}
	for _, w := range previous.Watermarks {
		next := Watermark{Owner: w.Owner}
		if owner := s.owners[w.Owner]; owner != nil {
			next = owner.watermark()
		}
		d.Watermarks = append(d.Watermarks, next)
	}
	return d
}

// rangeDigest returns a digest of the owners whose hash is in [low, high). If they
// do not fit into one message, it covers a shorter range that starts at low. Owners
// with equal hashes are never split between two digests.
func (s *Store) rangeDigest(low, high uint64) Digest {
	d := Digest{Lo: low, Hi: high}
	for _, owner := range s.byHash {
		if owner.hash < low || owner.hash >= high {
			continue
		}
		if len(d.Watermarks) >= maxDigestWatermarks {
			last := d.Watermarks[len(d.Watermarks)-1]
			if owner.hash != ownerHash(last.Owner) {
				d.Hi = owner.hash
				break
			}
		}
		d.Watermarks = append(d.Watermarks, owner.watermark())
	}
	return d
}

// RecentWatermarks returns the watermarks of the owners whose facts changed most
// recently in this store, latest first. Sent as an announcement, they let other
// instances request the new facts; see DigestFor.
func (s *Store) RecentWatermarks() []Watermark {
	changed := slices.DeleteFunc(slices.Clone(s.byHash), func(o *ownerRecord) bool { return o.changedAt == 0 })
	slices.SortFunc(changed, func(a, b *ownerRecord) int { return cmp.Compare(b.changedAt, a.changedAt) })
	var recent []Watermark
	for _, owner := range changed[:min(len(changed), maxRecentWatermarks)] {
		recent = append(recent, owner.watermark())
	}
	return recent
}

// DigestFor returns the digest that requests the facts which another store has,
// according to its recent watermarks, and this one lacks. It reports false if this
// store lacks none.
func (s *Store) DigestFor(recent []Watermark) (Digest, bool) {
	d := Digest{Hi: hashSpace, NamedOnly: true}
	for _, w := range recent[:min(len(recent), maxRecentWatermarks)] {
		owner := s.owners[w.Owner]
		switch {
		case w.Owner == s.self.name:
		case owner == nil:
			d.Watermarks = append(d.Watermarks, Watermark{Owner: w.Owner})
		case owner.behind(w):
			d.Watermarks = append(d.Watermarks, owner.watermark())
		}
	}
	return d, len(d.Watermarks) > 0
}
