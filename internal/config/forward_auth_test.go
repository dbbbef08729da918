package config

import (
	"path/filepath"
	"testing"
	"time"
)

const authHead = "[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"10.0.0.0/8\", \"::1\"]\n"

// The example is accepted and gets the defaults; the settings in force are a file with the same meaning.
func TestForwardAuthExample(t *testing.T) {
	o, err := Load(filepath.Join("..", "..", "deploy", "options-forward-auth.toml"))
	if err != nil {
		t.Fatal(err)
	}
	f := o.ForwardAuth
	if len(f.Rules) != 3 || o.Metrics.Listen == "" {
		t.Errorf("got %d rules and metrics.listen %q, want 3 and an address", len(f.Rules), o.Metrics.Listen)
	}
	if f.HeaderPrefix != "X-Hitch" || time.Duration(f.Retention) != 3*time.Second || f.MaxConnections != 1000 {
		t.Fatalf("got other defaults: %+v", f)
	}
	again, err := Load(writeFile(t, "again.toml", o.Text()))
	if err != nil {
		t.Fatal(err)
	}
	if !again.ForwardAuth.EqualExceptRules(f) || len(again.ForwardAuth.Rules) != 3 {
		t.Fatalf("the settings in force mean %+v, want %+v", again.ForwardAuth, f)
	}
	f.Rules = nil
	if !again.ForwardAuth.EqualExceptRules(f) {
		t.Error("sections with other rules are not equal except for them")
	}
	f.Retention++
	if again.ForwardAuth.EqualExceptRules(f) {
		t.Error("sections with another retention are equal")
	}
	if again.ForwardAuth.EqualExceptRules(nil) {
		t.Error("a section equals an absent one")
	}
}

// Each mistake is one line with file, line, key and value.
func TestForwardAuthMistakes(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[forward_auth]\ntrusted = [\"::1\"]", "forward_auth.listen: missing"},
		{"[forward_auth]\nlisten = \"x\"\ntrusted = [\"::1\"]", `:2: forward_auth.listen: "x"`},
		{"[forward_auth]\nlisten = \"127.0.0.1:1\"", "forward_auth.trusted: missing"},
		{"[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"any\"]", `:3: forward_auth.trusted: "any"`},
		{authHead + "start_within = \"1900ms\"", ":4: forward_auth.start_within: 1.9s is out of range"},
		{authHead + "lease_timeout = \"-1s\"", ":4: forward_auth.lease_timeout: -1s"},
		{authHead + "calls = -1", ":4: forward_auth.calls: -1"},
		{authHead + "header = \"X Y\"", `:4: forward_auth.header: "X Y"`},
		{authHead + "prefix = \"check\"", `:4: forward_auth.prefix: "check"`},
		{authHead + "leases = 3", "forward_auth.leases: no such key"},
		{"[metrics]\nlisten = \"127.0.0.1\"", "metrics.listen"},
		{"[metrics]", "metrics.listen: missing"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parse("f.toml", []byte(test.text))
			requireOneLine(t, err, test.want)
		})
	}
}
