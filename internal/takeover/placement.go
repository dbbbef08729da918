package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// rankedMember is a member with its rendezvous rank for one key.
type rankedMember struct {
	Member
	rank uint64
}

// Replicas returns the up to three members that store a key's record, the
// primary first. These are the highest-ranked member, the highest-ranked of
// another zone if there is one, and the highest-ranked of the rest. The third
// ensures two replicas besides the owner if the owner is itself a replica.
// The result depends only on the set of members.
func Replicas(key string, members []Member) []string {
	candidates := rankMembers(key, members)
	if len(candidates) == 0 {
		return nil
	}
	var names []string
	choose := func(i int) {
		names = append(names, candidates[i].Name)
		candidates = slices.Delete(candidates, i, i+1)
	}
	zone := candidates[0].Zone
	choose(0)
	otherZone := slices.IndexFunc(candidates, func(m rankedMember) bool { return m.Zone != zone })
	if otherZone >= 0 {
		choose(otherZone)
	} else if len(candidates) > 0 {
		choose(0)
	}
	if len(candidates) > 0 {
		choose(0)
	}
	return names
}

// rankMembers returns the members in descending order of their rank for key.
func rankMembers(key string, members []Member) []rankedMember {
	ranked := make([]rankedMember, 0, len(members))
	for _, m := range members {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(m.Name))
		ranked = append(ranked, rankedMember{m, mixBits(h.Sum64())})
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// outranks reports whether name has priority over other if both take the same
// work over in the same epoch. The result doesn't depend on either instance's
// view of the members.
func outranks(key, name, other string) bool {
	return rankMembers(key, []Member{{Name: name}, {Name: other}})[0].Name == name
}

// mixBits is the finalizer of MurmurHash3. With FNV alone, names that differ only
// in their last letter get similar ranks.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
