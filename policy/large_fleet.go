package policy

import "hash/fnv"

// In a large fleet each instance sees few of the requests of a tenant, a backend or
// a zone, and whatever one instance does is multiplied by the number of instances.
// Constants that apply to all instances together are divided by that number where
// they are used.

const (
	// maxSmallFleet is the maximum number of instances at which each one still sees
	// enough of every tenant and backend to decide from its own observations.
	maxSmallFleet = 20
	// minSubset is the minimum number of backends that an instance of a large fleet
	// prefers.
	minSubset = 12
	// maxSubsetCount is the maximum number of subsets that the backends are divided
	// into.
	maxSubsetCount = 4
	// outsideSubsetFactor is the factor on the score of backends outside the subset.
	outsideSubsetFactor = 1.5
)

// updateSubsetCount sets the number of subsets that the backends are divided into.
// It is a power of two, so that when the number of backends shrinks, an instance's
// subset gains backends but never loses one that remains.
func (e *Engine) updateSubsetCount() {
	e.subsetCount = 1
	for e.largeFleet && e.subsetCount < maxSubsetCount && e.subsetCount*2*minSubset <= len(e.running) {
		e.subsetCount *= 2
	}
}

// hashForSubset returns a hash of the backend that selects which instances prefer
// it. Four instances with consecutive indexes use the same hash, so that each backend
// is preferred by the same number of them.
func (e *Engine) hashForSubset(id BackendID) uint64 {
	four := []byte{byte(e.settings.Index >> 2), byte(e.settings.Index >> 10)}
	return hash64(string(four)+string(id)) >> 7
}

// inSubset reports whether this instance prefers the backend. An instance of a
// large fleet sends to a few backends often rather than to all of them rarely, so
// that it detects slow ones after a few responses and reuses open connections.
func (e *Engine) inSubset(b *backend) bool {
	return b.subsetHash%uint64(e.subsetCount) == uint64(e.settings.Index%e.subsetCount)
}

// hash64 returns the 64-bit FNV-1a hash of the text.
func hash64(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
