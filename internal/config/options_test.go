package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// requireOneLine fails the test unless err is one line that contains want.
func requireOneLine(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got error %v, want one line with %q", err, want)
	}
}

// writeFile writes a file into a directory of its own and returns the path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// redisHead is a complete section of three lines; keys that are appended to it begin on line 4.
const redisHead = "[store]\nkind = \"redis\"\naddress = \"a:1\"\n"

// An invalid file is rejected with a one-line error that names the file, the line and the key.
func TestBadOptions(t *testing.T) {
	empty := writeFile(t, "empty", "\n")
	for _, test := range []struct{ text, want string }{
		{"[store]\nkind = \"redis\"\naddress = \"127.0.0.1:1\"\ncolour = 3\n", ":4: store.colour: no such key"},
		{"\n[stor]\n", ":2: stor: no such key"},
		{"[store]\nkind = \"redis\"\n", ":1: store.address: missing"},
		{"[store]\nkind = \"redis\"\n\naddress = \"nowhere\"", `:4: store.address: "nowhere": missing port in address`},
		{"[store]\nkind = \"redis\"\naddress = \"a:99999\"", `:3: store.address: "a:99999": port "99999" is none`},
		{"[store]\nkind = \"odd\"", `:2: store.kind: "odd" is none`},
		{"[store]\naddress = \"a:1\"", ":1: store.kind: missing"},
		{"[store]\nkind = \"tally\"\naddress = \"a:1\"", ":2: store.kind: "},
		{redisHead + "connect_timeout = \"-1s\"", ":4: store.connect_timeout: -1s is out of range"},
		{redisHead + "connect_timeout = \"soon\"", ":4: store.connect_timeout: "},
		{redisHead + "database = \"x\"", ":4: store.database: "},
		{redisHead + "database = -2", ":4: store.database: -2 is negative"},
		{redisHead + "lanes = 65", ":4: store.lanes: 65 is out of range"},
		{redisHead + "prefix = \"a b\"", `:4: store.prefix: "a b"`},
		{redisHead + "username = \"u\"", `:4: store.username: "u" stands without password_file`},
		{redisHead + "password_file = \"/no/such\"", ":4: store.password_file: open /no/such: no such file"},
		{redisHead + "password_file = \"" + empty + "\"", ":4: store.password_file: " + empty + " is empty"},
		{
			"[store]\nkind = \"redis\"\nsentinels = [\"a:1\", \"b\"]\nmaster = \"m\"",
			`:3: store.sentinels: "b": missing port`,
		},
		{"[store]\nkind = \"redis\"\nsentinels = [\"a:1\"]", ":1: store.master: missing"},
		{redisHead + "sentinels = [\"a:1\"]\nmaster = \"m\"", ":4: store.sentinels: "},
		{redisHead + "[store.tls]\nca_file = \"/no/such\"", ":5: store.tls.ca_file: open /no/such"},
		{redisHead + "[store.tls]\ncert_file = \"/x\"", ":5: store.tls.cert_file: cert_file and key_file go together"},
		{"[log]\nsummary = \"1ms\"", ":2: log.summary: 1ms is out of range, 100ms to 1h"},
		{"[log]\n", ":1: log.summary: 0s is out of range"},
		{"[store\n", ":1: "},
		{"a = ", ":1: a: "},
	} {
		t.Run(test.want, func(t *testing.T) {
			path := writeFile(t, "options.toml", test.text)
			_, err := Load(path)
			requireOneLine(t, err, test.want)
			if prefix := "options " + path + ":"; !strings.HasPrefix(err.Error(), prefix) {
				t.Errorf("got error %v, want it to begin with %q", err, prefix)
			}
		})
	}
	if _, err := Load("/no/such/file"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: got error %v, want %v", err, fs.ErrNotExist)
	}
}

// The text of the effective options has the same meaning when it is loaded again, and does not contain the password.
func TestSettingsInForce(t *testing.T) {
	secret := writeFile(t, "password", "s3cret\n")
	o, err := Load(writeFile(t, "options.toml", redisHead+"password_file = \""+secret+"\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	s := o.Store
	if s.KeyPrefix != "hitchspring" || s.Shards != 1 || time.Duration(s.ConnectTimeout) != 250*time.Millisecond {
		t.Fatalf("unexpected defaults: %+v", s)
	}
	if password, err := s.Password(); password != "s3cret" || err != nil {
		t.Fatalf("got password %q, %v, want %q", password, err, "s3cret")
	}
	text := o.Text()
	if strings.Contains(text, "s3cret") || !strings.Contains(text, "250ms") {
		t.Fatalf("got text\n%s\nwant it with the default timeout and without the password", text)
	}
	again, err := Load(writeFile(t, "again.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	if !again.Store.EqualExceptAddress(s) {
		t.Fatalf("options loaded from Text: got %+v, want %+v", again.Store, s)
	}
	again.Store.Address = "127.0.0.1:6380"
	if !again.Store.EqualExceptAddress(s) {
		t.Error("stores that differ only in the address: got not equal, want equal")
	}
	again.Store.KeyPrefix = "other"
	if again.Store.EqualExceptAddress(s) {
		t.Error("stores that differ in the key prefix: got equal, want not equal")
	}
}

// Without a file every feature is off, and Text returns a comment.
func TestNoOptions(t *testing.T) {
	o, err := Load("")
	if err != nil {
		t.Fatal(err)
	}
	if o.Store != nil || !strings.HasPrefix(o.Text(), "#") {
		t.Fatalf("got store %+v and text %q, want none and a comment", o.Store, o.Text())
	}
}

// FuzzParse checks that parse errors are always one line.
func FuzzParse(f *testing.F) {
	f.Add("[store]\nkind = \"redis\"\naddress = \"a:1\"\nlanes = 3")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "_file") {
			return // validation would read arbitrary files
		}
		if _, err := parse("f", []byte(text)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: got error %v, want one line", text, err)
		}
	})
}

// Errors in [peers], in [clock] and in the sections that require [peers] are one line that names the key.
func TestBadPeers(t *testing.T) {
	key := writeFile(t, "key", "a key of enough letters\n")
	good := "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.2:7946\"]\nkey_file = \"" + key + "\"\n"
	replaced := func(old, value string) string { return strings.Replace(good, old, value, 1) }
	dial := func(addr string) string { return good + "[peers.dial]\n\"127.0.0.2:7946\" = \"" + addr + "\"\n" }
	for _, text := range []string{
		good,
		dial("127.0.0.3:1"),
		good + "[clock]\nahead = \"5s\"\nrate = 1.1\n",
		good + "[takeover]\n",
		good + "[rights]\n",
	} {
		if _, err := parse("f.toml", []byte(text)); err != nil {
			t.Errorf("%q: got error %v, want none", text, err)
		}
	}
	for _, test := range []struct{ text, want string }{
		{"[takeover]\n", "takeover: it needs [peers]"},
		{"[rights]\n", "rights: it needs [peers]"},
		{good + "secret = 1\n", ":5: peers.secret: no such key"},
		{good + "[clock]\nrate = 9\n", ":6: clock.rate: 9 is out of range"},
		{good + "[clock]\nahead = \"2h\"", ":6: clock.ahead: 2h0m0s is out of range"},
		{replaced("127.0.0.1:7946", "localhost:7946"), `:2: peers.listen: "localhost:7946" is no IP address and port`},
		{
			replaced("127.0.0.1:7946", "0.0.0.0:7946"),
			`peers.advertise: "0.0.0.0:7946": others can't reach an instance there`,
		},
		{
			replaced("127.0.0.2:7946", "127.0.0.1:7946"),
			`:3: peers.seeds: ["127.0.0.1:7946"]: that is this instance itself`,
		},
		{replaced("[\"127.0.0.2:7946\"]", "[]"), ":3: peers.seeds: there are none"},
		{replaced("127.0.0.2:7946", "n2"), `:3: peers.seeds: "n2" is no IP address and port`},
		{replaced(key, key+"no"), ":4: peers.key_file: open"},
		{good + "name = \"" + strings.Repeat("x", 65) + "\"\n", "peers.name:"},
		{good + "seeds_file = \"" + key + "\"\n", "seeds are named too"},
		{dial("somewhere"), `peers.dial: "somewhere" is no IP address and port`},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parse("f.toml", []byte(test.text))
			requireOneLine(t, err, test.want)
		})
	}
}
