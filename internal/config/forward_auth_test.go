package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const authHead = "[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"10.0.0.0/8\", \"::1\"]\n"

// The example is a good file, and what it leaves out has its usual value.
func TestForwardAuthExample(t *testing.T) {
	o, err := Load(filepath.Join("..", "..", "deploy", "options-forward-auth.toml"))
	if err != nil {
		t.Fatal(err)
	}
	f := o.ForwardAuth
	if len(f.Rules) != 3 || f.HeaderPrefix != "X-Hitch" || time.Duration(f.Retention) != 3*time.Second || f.MaxConnections != 1000 || o.Metrics.Listen == "" {
		t.Fatalf("%+v", f)
	}
	file := filepath.Join(t.TempDir(), "again.toml") // the settings in force are a file that says the same
	if err := os.WriteFile(file, []byte(o.Text()), 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := Load(file)
	if err != nil || !again.ForwardAuth.EqualExceptRules(f) || len(again.ForwardAuth.Rules) != 3 {
		t.Fatal(err)
	}
	f.Rules = nil
	if !again.ForwardAuth.EqualExceptRules(f) {
		t.Fatal("other rules are another section")
	}
	f.Retention++
	if again.ForwardAuth.EqualExceptRules(f) || again.ForwardAuth.EqualExceptRules(nil) {
		t.Fatal("another section is the same")
	}
}

// Each mistake is one line with file, line, key and value.
func TestForwardAuthMistakes(t *testing.T) {
	for text, want := range map[string]string{
		"[forward_auth]\ntrusted = [\"::1\"]":                           "forward_auth.listen: missing",
		"[forward_auth]\nlisten = \"x\"\ntrusted = [\"::1\"]":           `:2: forward_auth.listen: "x"`,
		"[forward_auth]\nlisten = \"127.0.0.1:1\"":                      "forward_auth.trusted: missing",
		"[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"any\"]": `:3: forward_auth.trusted: "any"`,
		authHead + "start_within = \"1900ms\"":                          ":4: forward_auth.start_within: 1.9s is out of range",
		authHead + "lease_timeout = \"-1s\"":                            ":4: forward_auth.lease_timeout: -1s",
		authHead + "calls = -1":                                         ":4: forward_auth.calls: -1",
		authHead + "header = \"X Y\"":                                   `:4: forward_auth.header: "X Y"`,
		authHead + "prefix = \"check\"":                                 `:4: forward_auth.prefix: "check"`,
		authHead + "leases = 3":                                         "forward_auth.leases: no such key",
		"[metrics]\nlisten = \"127.0.0.1\"":                             "metrics.listen",
		"[metrics]":                                                     "metrics.listen: missing",
	} {
		_, err := parse("f.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
