// Package suspend keeps the operators' word on nodes, which lies over discovery's list: a node that was taken out is draining
// until it is put back, whatever the list says of it, and one that was put back counts as started then, unless discovery has told of a
// restart since it was taken out. In: ids as they are listed, calls with the time of the call. Out: entries of the list as the decision
// module shall have them. It does no I/O and is not safe for many goroutines.
package override

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"hitchspring/policy"
)

// maxKnown is how many ids are remembered, more than twice the 7,700 backends of the largest fleet that is designed for: a change to
// a list names only what changed, so an id that is listed still may not have been named for long. Beyond, those that were named
// longest ago and are not taken out go first.
const maxKnown = 16384

// ErrUnknown is said of an id that was never listed.
var ErrUnknown = errors.New("no such node was ever listed")

// Word is the last thing that operators said of a node.
type Override struct {
	ID        policy.BackendID `json:"id"`
	Suspended bool             `json:"out"`
	At        time.Duration    `json:"at"` // on the clock that all instances share
	// Since is when a node that was put back had been taken out.
	SuspendedAt time.Duration `json:"since,omitempty"`
}

// entry is what is kept of an id.
type entry struct {
	word   Override
	spoken bool
	listed uint64 // number of the list that last had it
}

// Book is the words on all nodes.
type Overrides struct {
	known map[policy.BackendID]*entry
	lists uint64
}

// New returns a book in which nothing is known.
func New() *Overrides { return &Overrides{known: map[policy.BackendID]*entry{}} }

// Listed remembers the ids of a list or of a change to it.
func (b *Overrides) NoteListed(ids []policy.BackendID) {
	b.lists++
	for _, id := range ids {
		b.entry(id).listed = b.lists
	}
	b.shorten()
}

func (b *Overrides) entry(id policy.BackendID) *entry {
	e := b.known[id]
	if e == nil {
		e = &entry{}
		b.known[id] = e
	}
	return e
}

// shorten forgets the oldest ids that nobody has taken out, a quarter at a time.
func (b *Overrides) shorten() {
	if len(b.known) <= maxKnown {
		return
	}
	type aged struct {
		id     policy.BackendID
		listed uint64
	}
	var old []aged
	for id, e := range b.known {
		if !e.word.Suspended && e.listed < b.lists {
			old = append(old, aged{id, e.listed})
		}
	}
	slices.SortFunc(old, func(x, y aged) int { return cmp.Or(cmp.Compare(x.listed, y.listed), cmp.Compare(x.id, y.id)) })
	for _, o := range old[:min(len(old), len(b.known)-maxKnown*3/4)] {
		delete(b.known, o.id)
	}
}

// Say records a call. A repeat changes nothing; an id that was never listed is ErrUnknown.
func (b *Overrides) Set(id policy.BackendID, out bool, now time.Duration) (changed bool, err error) {
	e := b.known[id]
	if e == nil {
		return false, ErrUnknown
	}
	if e.word.Suspended == out {
		return false, nil
	}
	w := Override{ID: id, Suspended: out, At: max(now, e.word.At+1)}
	if !out {
		w.SuspendedAt = e.word.At
	}
	e.word, e.spoken = w, true
	return true, nil
}

// Merge takes in words that were recorded elsewhere; of two on one node the later counts. It returns the ids that changed.
func (b *Overrides) Merge(words []Override) (changed []policy.BackendID) {
	for _, w := range words {
		if w.ID == "" {
			continue
		}
		e := b.entry(w.ID)
		if e.spoken && e.word.At >= w.At {
			continue
		}
		if e.word.Suspended != w.Suspended || e.word.At != w.At {
			changed = append(changed, w.ID)
		}
		e.word, e.spoken = w, true
	}
	b.shorten()
	return changed
}

// Words is the last word on each node of which there is one, in the order of ids.
func (b *Overrides) All() (out []Override) {
	for _, e := range b.known {
		if e.spoken {
			out = append(out, e.word)
		}
	}
	slices.SortFunc(out, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Out reports whether a node is taken out.
func (b *Overrides) IsSuspended(id policy.BackendID) bool {
	e := b.known[id]
	return e != nil && e.word.Suspended
}

// Over is an entry of the list as it holds under the operators' word.
func (b *Overrides) Apply(s policy.Backend) policy.Backend {
	e := b.known[s.ID]
	switch {
	case e == nil || !e.spoken:
	case !e.word.Suspended && s.Started <= e.word.SuspendedAt: // its restart has not been told: at the latest, it was when it was put back
		s.Started = e.word.At
	case !e.word.Suspended:
	case s.State == policy.Running:
		s.State = policy.Draining
	}
	return s
}
