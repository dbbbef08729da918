package resp

import (
	"slices"
	"strings"
)

// knownFields are the names of the fields of a request. Position i is bit i of
// fieldNames.known.
var knownFields = [...]string{"c", "t", "d", "k", "r", "units", "spread", "first"}

// fieldNames finds repeated names in a list of fields. Its memory is proportional to
// the length of the list, however many names it has, and the names of the protocol
// need none. A map of the names would take some fifteen times the memory of the list.
type fieldNames struct {
	known   uint8   // bit set of the names of knownFields in the list
	unknown []int32 // offsets in the list of the other names
}

// add records a name that starts at an offset of the list. It returns false if the
// name is in knownFields and was added before.
func (n *fieldNames) add(name string, offset int) bool {
	i := slices.Index(knownFields[:], name)
	if i < 0 {
		n.unknown = append(n.unknown, int32(offset))
		return true
	}
	repeated := n.known&(1<<i) != 0
	n.known |= 1 << i
	return !repeated
}

// contains reports whether a name of knownFields was added.
func (n *fieldNames) contains(name string) bool {
	i := slices.Index(knownFields[:], name)
	return i >= 0 && n.known&(1<<i) != 0
}

// repeatsUnknown reports whether two names that are not in knownFields are equal. It
// changes the order of the offsets.
func (n *fieldNames) repeatsUnknown(list string) bool {
	nameAt := func(offset int32) string {
		name, _, _ := strings.Cut(list[offset:], "=")
		return name
	}
	slices.SortFunc(n.unknown, func(a, b int32) int { return strings.Compare(nameAt(a), nameAt(b)) })
	for i := 1; i < len(n.unknown); i++ {
		if nameAt(n.unknown[i-1]) == nameAt(n.unknown[i]) {
			return true
		}
	}
	return false
}
