package gossip

import (
	"cmp"
	"slices"
)

// NextDigest returns the next periodic request: the watermarks of as many
// owners as one message holds. Successive digests go round all owners.
func (s *Store) NextDigest() Digest {
	if len(s.byHash) <= maxDigestWatermarks {
		s.nextDigestLow = 0
	}
	d := s.rangeDigest(s.nextDigestLow, hashSpace)
	s.nextDigestLow = d.Hi % hashSpace
	return d
}

// ContinueDigest returns the request that follows one whose response was
// incomplete: for the same owners or the same range of hashes, with the
// watermarks as they are now.
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

// rangeDigest returns the watermarks of the owners whose hash is in [low, high),
// or of as many of them as one message holds. Owners with equal hashes are never
// split between two digests.
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

// RecentWatermarks returns the watermarks of the owners whose facts changed
// here last, the latest first. Sent unsolicited, they let others request what
// is new; see DigestFor.
func (s *Store) RecentWatermarks() []Watermark {
	changed := slices.DeleteFunc(slices.Clone(s.byHash), func(o *ownerRecord) bool { return o.changedAt == 0 })
	slices.SortFunc(changed, func(a, b *ownerRecord) int { return cmp.Compare(b.changedAt, a.changedAt) })
	var recent []Watermark
	for _, owner := range changed[:min(len(changed), maxRecentWatermarks)] {
		recent = append(recent, owner.watermark())
	}
	return recent
}

// DigestFor returns the request for what another store's recent watermarks say
// that it has and this one lacks. It reports false if this store lacks nothing.
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
