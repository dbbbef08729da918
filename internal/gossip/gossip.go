// Package shared keeps facts that instances tell one another. In: one's own facts, and shares of others'. Out: what is held, how
// old at the least, and what another has not seen yet. Owners write, others merge: each fact belongs to the instance that saw
// it, and is known by its owner, the owner's life, its kind and its subject; the highest sequence counts. Merging is
// commutative, associative and idempotent, so that a fact counts once, whichever ways it came. It knows no kind's meaning, no
// member's state and no way of travelling.
//
// Ages need no clock but each instance's own monotonic one. A share answers a question, and repeats when that was asked by the
// asker's clock; ages in it are as of the moment of answering. So a fact with age a in a share that was asked for at q was
// seen no earlier than q-a by the asker's clock: the asker takes that, which makes it too old by one round trip for each
// hand that it went through, and never too young. An answer that took longer than MostTrip is not used at all. A clock that
// runs wrong by a share makes ages wrong by that share.
package gossip

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Bounds. Memory is taken by need; docs/design/limits-on-record.md has what each bound costs.
const (
	// MostTrip is the longest time between a question and its answer for which ages are believed.
	MaxRoundTrip = 500 * time.Millisecond
	// MaxFactsPerOwner bounds the facts of one owner: one about each of 7,700 backends.
	MaxFactsPerOwner = 8192
	// MaxBytes bounds what all owners' facts take: 350 owners with a fact about each of 100 backends take 7.5 MB. An instance's
	// own facts count, and are held beyond it.
	MaxBytes     = 8 << 20
	factOverheadBytes     = 160 // bytes that one fact takes besides
	maxNameBytes      = 128 // of a kind and of a subject
	maxDataBytes      = 512 // bytes of one fact's data
	maxOwners    = 4096
	deltaHeaderBytes    = 64 // bytes of a share and of a fact on the wire, at most, besides texts and data
	factHeaderBytes     = 32
	maxRecentWatermarks     = 8       // owners that are named with a nudge
	maxDigestWatermarks    = 36      // owners in one question
	hashSpace  = 1 << 32 // of the owners' hashes
	minHorizon = time.Second
)

// Fact is one fact as it is held.
type Fact struct {
	Owner, Kind, Subject string
	Incarnation, Seq     uint64
	ObservedAt           time.Duration // when it was seen, at the earliest, by this instance's clock
	Data                 []byte        // the kind's own; not to be changed
}

// Share is facts of one owner on the wire: all that the sender holds of those after From and up to To.
type Delta struct {
	Owner       string      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	From        uint64      `cbor:"3,keyasint,omitempty"`
	To          uint64      `cbor:"4,keyasint,omitempty"`
	Facts       []DeltaFact `cbor:"5,keyasint,omitempty"`
}

// Item is one fact on the wire.
type DeltaFact struct {
	Kind    string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	AgeUS   int64  `cbor:"4,keyasint,omitempty"` // as of the answer, in microseconds
	Data    []byte `cbor:"5,keyasint,omitempty"`
}

// Mark says up to which sequence an owner's facts are held.
type Watermark struct {
	Owner       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint,omitempty"`
}

// Digest is the marks of the owners whose hash is in a part of the circle, from Lo up to Hi.
type Digest struct {
	Lo         uint64      `cbor:"1,keyasint,omitempty"`
	Hi         uint64      `cbor:"2,keyasint"`
	Watermarks []Watermark `cbor:"3,keyasint,omitempty"`
	NamedOnly  bool        `cbor:"4,keyasint,omitempty"` // of the owners that are named alone
}

// Counts is what was not taken over so far, and why.
type Counts struct {
	Late             int `json:"Late"`
	EndedIncarnation int `json:"EndedLife"`
	Own              int `json:"Own"`
	Malformed        int `json:"Malformed"`
	// Full is the facts and owners for which there was no room. A fact of another owner is asked for again, and counts each time.
	Full int `json:"Full"`
}

type factKey struct{ kind, subject string }

type ownerRecord struct {
	name  string
	hash  uint64
	incarnation  uint64
	completeThrough  uint64 // all up to here were seen, but for those that a later one has replaced
	facts map[factKey]*Fact
	changedAt  uint64 // the store's version when something of it was last learned
}

// Store is what one instance holds. It is used by one goroutine at a time.
type Store struct {
	self    *ownerRecord
	owners  map[string]*ownerRecord
	byHash   []*ownerRecord // of all owners, by hash and name
	horizon time.Duration
	usedBytes   int
	nextDigestLow   uint64 // where the next digest begins
	version uint64
	counts  Counts
}

// New returns a store of an owner's life whose facts are dropped when they are older than the horizon.
func New(name string, life uint64, horizon time.Duration) *Store {
	s := &Store{owners: map[string]*ownerRecord{}, horizon: max(horizon, minHorizon)}
	s.self = s.findOrAddOwner(name, life)
	return s
}

// Version changes with each change of what is held.
func (s *Store) Version() uint64 { return s.version }

// Counts is what was not taken over.
func (s *Store) Counts() Counts { return s.counts }

// Bytes is what the facts take, about.
func (s *Store) Bytes() int { return s.usedBytes }

// SetLife begins another life of this instance: its facts go on as that one's.
func (s *Store) SetIncarnation(life uint64) {
	if life == s.self.incarnation {
		return
	}
	s.self.incarnation = life
	for _, f := range s.self.facts {
		f.Incarnation = life
	}
	s.version++
}

func ownerHash(name string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint64(h.Sum32())
}

func (s *Store) findOrAddOwner(name string, life uint64) *ownerRecord {
	if o := s.owners[name]; o != nil {
		return o
	}
	if len(s.owners) >= maxOwners {
		return nil
	}
	o := &ownerRecord{name: name, hash: ownerHash(name), incarnation: life, facts: map[factKey]*Fact{}}
	s.owners[name] = o
	i, _ := slices.BinarySearchFunc(s.byHash, o, compareOwners)
	s.byHash = slices.Insert(s.byHash, i, o)
	return o
}

func compareOwners(a, b *ownerRecord) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) }

func factSize(f *Fact) int { return factOverheadBytes + len(f.Kind) + len(f.Subject) + len(f.Data) }

// Put states a fact of this instance's own, seen at a time of its clock; what it said of the subject before is replaced. It
// returns false where there is no room, or the texts are too long.
func (s *Store) Put(kind, subject string, born time.Duration, data []byte) bool {
	if !validSizes(kind, subject, data) {
		return false
	}
	k := factKey{kind, subject}
	old := s.self.facts[k]
	f := &Fact{Owner: s.self.name, Kind: kind, Subject: subject, Incarnation: s.self.incarnation, Seq: s.self.completeThrough + 1, ObservedAt: born, Data: data}
	if !s.admit(s.self, old, f) {
		return false
	}
	s.self.completeThrough++
	s.insert(s.self, k, old, f)
	return true
}

func validSizes(kind, subject string, data []byte) bool {
	return kind != "" && len(kind) <= maxNameBytes && len(subject) <= maxNameBytes && len(data) <= maxDataBytes
}

// room says whether a fact may take another's place, or one of its own. What others tell keeps out nothing that this instance has
// seen itself.
func (s *Store) admit(o *ownerRecord, old, f *Fact) bool {
	growth := factSize(f)
	if old != nil {
		growth -= factSize(old)
	}
	ownerFull := old == nil && len(o.facts) >= MaxFactsPerOwner
	storeFull := o != s.self && s.usedBytes+growth > MaxBytes
	if ownerFull || storeFull {
		s.counts.Full++
		return false
	}
	return true
}

func (s *Store) insert(o *ownerRecord, k factKey, old, f *Fact) {
	if old != nil {
		s.usedBytes -= factSize(old)
	}
	s.usedBytes += factSize(f)
	o.facts[k] = f
	s.version++
	o.changedAt = s.version
}

func (s *Store) remove(o *ownerRecord, k factKey) {
	s.usedBytes -= factSize(o.facts[k])
	delete(o.facts, k)
	s.version++
}

// Sweep drops what is too old, and owners of whom keep says that they are not needed any more.
func (s *Store) Sweep(now time.Duration, keep func(owner string) bool) {
	s.byHash = slices.DeleteFunc(s.byHash, func(o *ownerRecord) bool {
		for k, f := range o.facts {
			if now-f.ObservedAt > s.horizon {
				s.remove(o, k)
			}
		}
		if o == s.self || len(o.facts) > 0 || keep(o.name) {
			return false
		}
		delete(s.owners, o.name)
		return true
	})
}

// Facts are all facts of a kind that are held, those of this instance among them, by owner and subject. None is older than the
// horizon.
func (s *Store) Facts(now time.Duration, kind string) (out []Fact) {
	for _, o := range s.byHash {
		for k, f := range o.facts {
			if k.kind == kind && now-f.ObservedAt <= s.horizon {
				out = append(out, *f)
			}
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Subject, b.Subject)) })
	return out
}

// Ask is the next question: marks of as many owners as one message holds, going round all of them.
func (s *Store) NextDigest() Digest {
	if len(s.byHash) <= maxDigestWatermarks {
		s.nextDigestLow = 0
	}
	d := s.rangeDigest(s.nextDigestLow, hashSpace)
	s.nextDigestLow = d.Hi % hashSpace
	return d
}

// AskOn is the question that goes on with an earlier one whose answer did not hold everything: of the same owners or the same part of
// the circle, with the marks as they are now.
func (s *Store) ContinueDigest(earlier Digest) Digest {
	if !earlier.NamedOnly {
		return s.rangeDigest(earlier.Lo, earlier.Hi)
	}
	d := Digest{Lo: earlier.Lo, Hi: earlier.Hi, NamedOnly: true}
	for _, m := range earlier.Watermarks {
		next := Watermark{Owner: m.Owner}
		if o := s.owners[m.Owner]; o != nil {
			next.Incarnation, next.Seq = o.incarnation, o.completeThrough
		}
		d.Watermarks = append(d.Watermarks, next)
	}
	return d
}

// digest is the marks of the owners from lo up to hi, or of as many of them as one message holds.
func (s *Store) rangeDigest(lo, hi uint64) Digest {
	d := Digest{Lo: lo, Hi: hi}
	for _, o := range s.byHash {
		if o.hash < lo || o.hash >= hi {
			continue
		}
		if len(d.Watermarks) >= maxDigestWatermarks && o.hash != ownerHash(d.Watermarks[len(d.Watermarks)-1].Owner) {
			d.Hi = o.hash
			break
		}
		d.Watermarks = append(d.Watermarks, Watermark{o.name, o.incarnation, o.completeThrough})
	}
	return d
}

// News names the owners of whom something was learned last, with how far each is held here.
func (s *Store) RecentWatermarks() []Watermark {
	list := slices.DeleteFunc(slices.Clone(s.byHash), func(o *ownerRecord) bool { return o.changedAt == 0 })
	slices.SortFunc(list, func(a, b *ownerRecord) int { return cmp.Compare(b.changedAt, a.changedAt) })
	var out []Watermark
	for _, o := range list[:min(len(list), maxRecentWatermarks)] {
		out = append(out, Watermark{o.name, o.incarnation, o.completeThrough})
	}
	return out
}

// AskFor is the question for what another has told the names of; false where nothing of it lacks here.
func (s *Store) DigestFor(news []Watermark) (Digest, bool) {
	d := Digest{Hi: hashSpace, NamedOnly: true}
	for _, m := range news[:min(len(news), maxRecentWatermarks)] {
		o := s.owners[m.Owner]
		switch {
		case m.Owner == s.self.name:
		case o == nil:
			d.Watermarks = append(d.Watermarks, Watermark{Owner: m.Owner})
		case o.incarnation < m.Incarnation || o.incarnation == m.Incarnation && o.completeThrough < m.Seq:
			d.Watermarks = append(d.Watermarks, Watermark{o.name, o.incarnation, o.completeThrough})
		}
	}
	return d, len(d.Watermarks) > 0
}

// Answer is what a digest's sender lacks, oldest first, in about so many bytes at the most. An owner's new life is told of also
// where it has seen nothing yet: what the ended one has seen counts no longer.
func (s *Store) DeltasFor(now time.Duration, d Digest, most int) (out []Delta) {
	marks := map[string]Watermark{}
	for _, m := range d.Watermarks {
		marks[m.Owner] = m
	}
	start := 0
	if n := len(s.byHash); n > 0 { // so that under pressure not the same owners are told of each time
		start = int(uint64(now/time.Millisecond) % uint64(n))
	}
	for i := range s.byHash {
		o := s.byHash[(start+i)%len(s.byHash)]
		m, named := marks[o.name]
		if d.NamedOnly && !named || o.hash < d.Lo || o.hash >= d.Hi || m.Incarnation > o.incarnation || m.Incarnation == o.incarnation && m.Seq >= o.completeThrough {
			continue
		}
		sh := Delta{Owner: o.name, Incarnation: o.incarnation}
		if m.Incarnation == o.incarnation {
			sh.From = m.Seq
		}
		if most -= deltaHeaderBytes + len(o.name); most < 0 {
			break
		}
		facts := slices.SortedFunc(maps.Values(o.facts), func(a, b *Fact) int { return cmp.Compare(a.Seq, b.Seq) })
		sh.To = o.completeThrough
		for _, f := range facts {
			if f.Seq <= sh.From {
				continue
			}
			if most -= factHeaderBytes + len(f.Kind) + len(f.Subject) + len(f.Data); most < 0 {
				sh.To = sh.From
				if n := len(sh.Facts); n > 0 {
					sh.To = sh.Facts[n-1].Seq
				}
				break
			}
			sh.Facts = append(sh.Facts, DeltaFact{f.Kind, f.Subject, f.Seq, max(0, now-f.ObservedAt).Microseconds(), f.Data})
		}
		if sh.To > sh.From || m.Incarnation < o.incarnation {
			out = append(out, sh)
		}
		if most < 0 {
			break
		}
	}
	return out
}

// Merge takes over the answer to a question that was asked at a time of this instance's clock.
func (s *Store) Merge(now, asked time.Duration, shares []Delta) {
	if now-asked > MaxRoundTrip || asked > now {
		s.counts.Late++
		return
	}
	for _, sh := range shares {
		s.mergeDelta(asked, sh)
	}
}

func (s *Store) mergeDelta(asked time.Duration, sh Delta) {
	if sh.Owner == s.self.name { // nobody says what this instance has seen
		s.counts.Own++
		return
	}
	if sh.Owner == "" || len(sh.Owner) > maxNameBytes || sh.To < sh.From {
		s.counts.Malformed++
		return
	}
	o := s.findOrAddOwner(sh.Owner, sh.Incarnation)
	switch {
	case o == nil:
		s.counts.Full++
		return
	case sh.Incarnation < o.incarnation:
		s.counts.EndedIncarnation++
		return
	case sh.Incarnation > o.incarnation: // what an ended life has seen is its next life's to tell
		for k := range o.facts {
			s.remove(o, k)
		}
		o.incarnation, o.completeThrough = sh.Incarnation, 0
	}
	whole := true
	for _, it := range sh.Facts {
		if !validSizes(it.Kind, it.Subject, it.Data) || it.AgeUS < 0 || it.AgeUS > (1<<62)/int64(time.Microsecond) || it.Seq <= sh.From || it.Seq > sh.To {
			s.counts.Malformed++
			whole = false
			continue
		}
		k := factKey{it.Kind, it.Subject}
		old := o.facts[k]
		born := asked - time.Duration(it.AgeUS)*time.Microsecond
		switch {
		case old != nil && old.Seq > it.Seq:
		case old != nil && old.Seq == it.Seq: // by another way: both are bounds, the closer one holds
			if born > old.ObservedAt {
				old.ObservedAt = born
				s.version++
			}
		case asked-born > s.horizon: // gone everywhere before long
		default:
			f := &Fact{Owner: o.name, Kind: it.Kind, Subject: it.Subject, Incarnation: o.incarnation, Seq: it.Seq, ObservedAt: born, Data: it.Data}
			if !s.admit(o, old, f) {
				whole = false
				continue
			}
			s.insert(o, k, old, f)
		}
	}
	if whole && sh.From <= o.completeThrough {
		o.completeThrough = max(o.completeThrough, sh.To)
	}
}

// Lacks says whether a digest's sender lacks more than a part of the answer has told it.
func (s *Store) HasMore(d Digest, told []Delta) bool {
	have := map[string]Watermark{}
	for _, m := range d.Watermarks {
		have[m.Owner] = m
	}
	for _, sh := range told {
		have[sh.Owner] = Watermark{sh.Owner, sh.Incarnation, sh.To}
	}
	for _, o := range s.byHash {
		if m, named := have[o.name]; (named || !d.NamedOnly) && o.hash >= d.Lo && o.hash < d.Hi && (m.Incarnation < o.incarnation || m.Incarnation == o.incarnation && m.Seq < o.completeThrough) {
			return true
		}
	}
	return false
}

// Len is how many facts are held.
func (s *Store) Len() (n int) {
	for _, o := range s.byHash {
		n += len(o.facts)
	}
	return n
}

// Sum is alike at two stores that hold the same facts of others and of their own, whatever they hold them to be old.
func (s *Store) Checksum(now time.Duration) (sum uint64) {
	for _, o := range s.byHash {
		for k, f := range o.facts {
			if now-f.ObservedAt > s.horizon {
				continue
			}
			h := fnv.New64a()
			fmt.Fprintf(h, "%q %d %q %q %d ", o.name, o.incarnation, k.kind, k.subject, f.Seq)
			h.Write(f.Data)
			sum += h.Sum64()
		}
	}
	return sum
}
