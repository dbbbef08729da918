package config

import (
	"fmt"
	"strings"
	"testing"
)

// designRuleCount is the number of rules that the rule table is designed for.
const designRuleCount = 12_000

// ruleSections returns a [forward_auth] section with n rules of typical length.
func ruleSections(n int) string {
	var text strings.Builder
	text.WriteString(forwardAuthHead)
	for i := range n {
		text.WriteString("[[forward_auth.rule]]\nmethod = \"GET\"\n")
		fmt.Fprintf(&text, "path = \"/v1/channels/{channel}/assets/%05d/segments\"\n", i)
		text.WriteString("class = \"read\"\nplan = \"standard\"\n")
	}
	return text.String()
}

// A table with the 12,000 rules of the design is accepted, and none is lost.
func TestManyRules(t *testing.T) {
	o, err := parse("f.toml", []byte(ruleSections(designRuleCount)))
	if err != nil {
		t.Fatal(err)
	}
	if got := len(o.ForwardAuth.Rules); got != designRuleCount {
		t.Fatalf("got %d rules, want %d", got, designRuleCount)
	}
	const wantLast = "/v1/channels/{channel}/assets/11999/segments"
	if got := o.ForwardAuth.Rules[designRuleCount-1].Path; got != wantLast {
		t.Errorf("last rule: got path %q, want %q", got, wantLast)
	}
}

// One rule more than maxRules is an error that names the key and the count, and a file larger than maxFileBytes is an
// error that names the file and its size.
func TestTooManyRules(t *testing.T) {
	atBound := ruleSections(maxRules)
	if _, err := parse("f.toml", []byte(atBound)); err != nil {
		t.Fatal(err)
	}
	t.Run("rules", func(t *testing.T) {
		_, err := parse("f.toml", []byte(ruleSections(maxRules+1)))
		requireOneLine(t, err, "forward_auth.rule: 16385 rules are too many, 16384 at most")
	})
	t.Run("bytes", func(t *testing.T) {
		text := atBound + "#" + strings.Repeat("x", maxFileBytes)
		_, err := parse("f.toml", []byte(text))
		requireOneLine(t, err, fmt.Sprintf("options f.toml: the file has %d bytes, 4194304 at most", len(text)))
	})
}

// 2,000 seeds and 2,000 dial addresses are accepted: only the size of the file limits either list.
func TestManySeeds(t *testing.T) {
	const count = 2000
	keyFile := writeFile(t, "key", "a key that all instances share\n")
	var seeds, dial strings.Builder
	for i := range count {
		host := fmt.Sprintf("%d.%d:7946", i/200, 1+i%200)
		fmt.Fprintf(&seeds, "%q, ", "10.1."+host)
		fmt.Fprintf(&dial, "%q = %q\n", "10.1."+host, "10.2."+host)
	}
	text := fmt.Sprintf("[peers]\nlisten = \"10.0.0.1:7946\"\nkey_file = %q\nseeds = [%s]\n", keyFile, seeds.String())
	text += "[peers.dial]\n" + dial.String()
	o, err := parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if len(o.Peers.Seeds) != count || len(o.Peers.Dial) != count {
		t.Fatalf("got %d seeds and %d dial addresses, want %d each", len(o.Peers.Seeds), len(o.Peers.Dial), count)
	}
}
