package overrun

import (
	"encoding/json"
	"testing"
)

// expectSameAfterJSON fails the test if encoding a bound as JSON and decoding it
// changes it.
func expectSameAfterJSON(t *testing.T, bound Bound) {
	t.Helper()
	text, err := json.Marshal(bound)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Bound
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded != bound {
		t.Errorf("after JSON %s: got %+v, want %+v", text, decoded, bound)
	}
}
