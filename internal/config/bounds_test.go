package config

import (
	"fmt"
	"strings"
	"testing"
)

// rules is the text of so many rules, each as long as a usual one.
func rules(n int) string {
	var b strings.Builder
	b.WriteString(authHead)
	for i := range n {
		fmt.Fprintf(&b, "[[forward_auth.rule]]\nmethod = \"GET\"\npath = \"/v1/channels/{channel}/assets/%05d/segments\"\nclass = \"read\"\nplan = \"standard\"\n", i)
	}
	return b.String()
}

// A table of 12,000 rules is taken whole.
func TestManyRules(t *testing.T) {
	o, err := parse("f.toml", []byte(rules(12000)))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(o.ForwardAuth.Rules); n != 12000 || o.ForwardAuth.Rules[n-1].Path != "/v1/channels/{channel}/assets/11999/segments" {
		t.Fatal(n)
	}
}

// One rule more than the bound, and a file that is too large, are one error each that names the key and the value.
func TestTooManyRules(t *testing.T) {
	text := rules(maxRules)
	if _, err := parse("f.toml", []byte(text)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		rules(maxRules + 1):                            "forward_auth.rule: 16385 rules are too many, 16384 at most",
		text + "#" + strings.Repeat("x", maxFileBytes): fmt.Sprintf("options f.toml: the file has %d bytes, 4194304 at most", len(text)+1+maxFileBytes),
	} {
		_, err := parse("f.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// 2,000 seeds and as many addresses to dial are taken: neither list has a bound of its own.
func TestManySeeds(t *testing.T) {
	key := write(t, "key", "a key that all of them have\n")
	var seeds, dial strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&seeds, "%q, ", fmt.Sprintf("10.1.%d.%d:7946", i/200, 1+i%200))
		fmt.Fprintf(&dial, "%q = %q\n", fmt.Sprintf("10.1.%d.%d:7946", i/200, 1+i%200), fmt.Sprintf("10.2.%d.%d:7946", i/200, 1+i%200))
	}
	text := fmt.Sprintf("[peers]\nlisten = \"10.0.0.1:7946\"\nkey_file = %q\nseeds = [%s]\n[peers.dial]\n%s", key, seeds.String(), dial.String())
	o, err := parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if len(o.Peers.Seeds) != 2000 || len(o.Peers.Dial) != 2000 {
		t.Fatal(len(o.Peers.Seeds), len(o.Peers.Dial))
	}
}
