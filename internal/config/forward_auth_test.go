package config

import (
	"path/filepath"
	"testing"
	"time"
)

// forwardAuthHead is a complete section of three lines; keys that are appended to it begin on line 4.
const forwardAuthHead = "[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"10.0.0.0/8\", \"::1\"]\n"

// The example file in deploy is accepted and the defaults are filled in. The text of the effective options has the same
// meaning when it is loaded again.
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
		t.Fatalf("unexpected defaults: %+v", f)
	}
	again, err := Load(writeFile(t, "again.toml", o.Text()))
	if err != nil {
		t.Fatal(err)
	}
	if !again.ForwardAuth.EqualExceptRules(f) || len(again.ForwardAuth.Rules) != 3 {
		t.Fatalf("options loaded from Text: got %+v, want %+v", again.ForwardAuth, f)
	}
	f.Rules = nil
	if !again.ForwardAuth.EqualExceptRules(f) {
		t.Error("sections that differ only in their rules: got not equal, want equal")
	}
	f.Retention++
	if again.ForwardAuth.EqualExceptRules(f) {
		t.Error("sections that differ in the retention: got equal, want not equal")
	}
	if again.ForwardAuth.EqualExceptRules(nil) {
		t.Error("a section and an absent one: got equal, want not equal")
	}
}

// Each invalid [forward_auth] or [metrics] section is rejected with a one-line error that names the key.
func TestBadForwardAuth(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[forward_auth]\ntrusted = [\"::1\"]", "forward_auth.listen: missing"},
		{"[forward_auth]\nlisten = \"x\"\ntrusted = [\"::1\"]", `:2: forward_auth.listen: "x"`},
		{"[forward_auth]\nlisten = \"127.0.0.1:1\"", "forward_auth.trusted: missing"},
		{"[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"any\"]", `:3: forward_auth.trusted: "any"`},
		{forwardAuthHead + "start_within = \"1900ms\"", ":4: forward_auth.start_within: 1.9s is out of range"},
		{forwardAuthHead + "lease_timeout = \"-1s\"", ":4: forward_auth.lease_timeout: -1s"},
		{forwardAuthHead + "calls = -1", ":4: forward_auth.calls: -1"},
		{forwardAuthHead + "header = \"X Y\"", `:4: forward_auth.header: "X Y"`},
		{forwardAuthHead + "prefix = \"check\"", `:4: forward_auth.prefix: "check"`},
		{forwardAuthHead + "leases = 3", "forward_auth.leases: no such key"},
		{"[metrics]\nlisten = \"127.0.0.1\"", "metrics.listen"},
		{"[metrics]", "metrics.listen: missing"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parse("f.toml", []byte(test.text))
			requireOneLine(t, err, test.want)
		})
	}
}
