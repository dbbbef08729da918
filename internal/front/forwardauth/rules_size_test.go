package forwardauth

import (
	"fmt"
	"net/http"
	"testing"
)

// manyRules returns a table of n rules whose paths share a prefix, as the paths
// of one platform do.
func manyRules(tb testing.TB, n int) *Table {
	tb.Helper()
	rules := make([]Rule, n)
	for i := range rules {
		rules[i] = Rule{
			Method: http.MethodGet,
			Path:   fmt.Sprintf("/v1/channels/{channel}/assets/%05d/segments", i),
			Class:  fmt.Sprint("class", i),
		}
	}
	table, err := NewTable(rules)
	if err != nil {
		tb.Fatal(err)
	}
	return table
}

// In a table of 12,000 rules, each path matches its own rule.
func TestManyRules(t *testing.T) {
	table := manyRules(t, 12000)
	for _, i := range []int{0, 500, 11999} {
		r, channel, ok := table.Match(
			http.MethodGet,
			[]string{"v1", "channels", "c7", "assets", fmt.Sprintf("%05d", i), "segments"},
		)
		if !ok || channel != "c7" || r.Class != fmt.Sprint("class", i) {
			t.Errorf("%d: %+v %q %v", i, r, channel, ok)
		}
	}
}

// BenchmarkLastRule measures the worst case of Match: rules are tried in order, and
// only the last one matches.
func BenchmarkLastRule(b *testing.B) {
	for _, n := range []int{500, 12000, 16384} {
		table := manyRules(b, n)
		segments := []string{"v1", "channels", "c7", "assets", fmt.Sprintf("%05d", n-1), "segments"}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, _, ok := table.Match(http.MethodGet, segments); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
