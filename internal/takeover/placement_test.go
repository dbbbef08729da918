package takeover

import (
	"fmt"
	"slices"
	"testing"
)

// The replicas of a key don't depend on the order of the members and are in two
// zones, and the primaries are distributed evenly.
func TestReplicasAreAgreedAndSpread(t *testing.T) {
	members := numberedMembers(9)
	primaries := map[string]int{}
	for i := range 9000 {
		key := fmt.Sprint("customer/", i)
		replicas := Replicas(key, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if got := Replicas(key, reversed); !slices.Equal(got, replicas) || len(got) != 3 {
			t.Fatalf("replicas with the members in another order: got %v, want %v, three of them", got, replicas)
		}
		if replicas[0][1]%3 == replicas[1][1]%3 {
			t.Fatalf("%v are in one zone", replicas[:2])
		}
		primaries[replicas[0]]++
	}
	for name, keys := range primaries {
		if keys < 800 || keys > 1200 {
			t.Errorf("%s is the primary of %d of 9000 keys, want 800 to 1200", name, keys)
		}
	}
	if got := Replicas("k", members[:1]); len(got) != 1 {
		t.Fatalf("replicas among one member: got %v, want one", got)
	}
}
