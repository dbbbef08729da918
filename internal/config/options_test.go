package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A bad file is one line that names file, line, key and value.
func TestBadOptions(t *testing.T) {
	empty := write(t, "empty", "\n")
	for text, want := range map[string]string{
		"[store]\nkind = \"redis\"\naddress = \"127.0.0.1:1\"\ncolour = 3\n": ":4: store.colour: no such key",
		"\n[stor]\n":                  ":2: stor: no such key",
		"[store]\nkind = \"redis\"\n": ":1: store.address: missing",
		"[store]\nkind = \"redis\"\n\naddress = \"nowhere\"":                                  `:4: store.address: "nowhere": missing port in address`,
		"[store]\nkind = \"redis\"\naddress = \"a:99999\"":                                    `:3: store.address: "a:99999": port "99999" is none`,
		"[store]\nkind = \"odd\"":                                                             `:2: store.kind: "odd" is none`,
		"[store]\naddress = \"a:1\"":                                                          ":1: store.kind: missing",
		"[store]\nkind = \"tally\"\naddress = \"a:1\"":                                        ":2: store.kind: ",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nconnect_timeout = \"-1s\"":             ":4: store.connect_timeout: -1s is out of range",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nconnect_timeout = \"soon\"":            ":4: store.connect_timeout: ",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\ndatabase = \"x\"":                      ":4: store.database: ",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\ndatabase = -2":                         ":4: store.database: -2 is negative",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nlanes = 65":                            ":4: store.lanes: 65 is out of range",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nprefix = \"a b\"":                      `:4: store.prefix: "a b"`,
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nusername = \"u\"":                      `:4: store.username: "u" stands without password_file`,
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\npassword_file = \"/no/such\"":          ":4: store.password_file: open /no/such: no such file",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\npassword_file = \"" + empty + "\"":     ":4: store.password_file: " + empty + " is empty",
		"[store]\nkind = \"redis\"\nsentinels = [\"a:1\", \"b\"]\nmaster = \"m\"":             `:3: store.sentinels: "b": missing port`,
		"[store]\nkind = \"redis\"\nsentinels = [\"a:1\"]":                                    ":1: store.master: missing",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\nsentinels = [\"a:1\"]\nmaster = \"m\"": ":4: store.sentinels: ",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\n[store.tls]\nca_file = \"/no/such\"":   ":5: store.tls.ca_file: open /no/such",
		"[store]\nkind = \"redis\"\naddress = \"a:1\"\n[store.tls]\ncert_file = \"/x\"":       ":5: store.tls.cert_file: cert_file and key_file go together",
		"[log]\nsummary = \"1ms\"":                                                            ":2: log.summary: 1ms is out of range, 100ms to 1h",
		"[log]\n":                                                                             ":1: log.summary: 0s is out of range",
		"[store\n":                                                                            ":1: ",
		"a = ":                                                                                ":1: a: ",
	} {
		path := write(t, "options.toml", text)
		_, err := Load(path)
		if err == nil || !strings.HasPrefix(err.Error(), "options "+path+":") || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n  %v\n  want one line with %q", text, err, want)
		}
	}
	if _, err := Load("/no/such/file"); err == nil {
		t.Error("no file: no error")
	}
}

// The settings in force are a file that means the same, without the secret.
func TestSettingsInForce(t *testing.T) {
	secret := write(t, "password", "s3cret\n")
	path := write(t, "options.toml", "[store]\nkind = \"redis\"\naddress = \"127.0.0.1:6379\"\npassword_file = \""+secret+"\"\n")
	o, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s := o.Store; s.KeyPrefix != "hitchspring" || s.Shards != 1 || time.Duration(s.ConnectTimeout) != 250*time.Millisecond {
		t.Fatalf("%+v", s)
	}
	if p, err := o.Store.Password(); p != "s3cret" || err != nil {
		t.Fatal(p, err)
	}
	text := o.Text()
	if strings.Contains(text, "s3cret") || !strings.Contains(text, "250ms") {
		t.Fatal(text)
	}
	again, err := Load(write(t, "again.toml", text))
	if err != nil || !again.Store.EqualExceptAddress(o.Store) {
		t.Fatal(err, text)
	}
	again.Store.Address = "127.0.0.1:6380"
	if !again.Store.EqualExceptAddress(o.Store) {
		t.Fatal("another address is not the same but for it")
	}
	again.Store.KeyPrefix = "other"
	if again.Store.EqualExceptAddress(o.Store) {
		t.Fatal("another prefix is the same")
	}
	if o, err := Load(""); err != nil || o.Store != nil || !strings.HasPrefix(o.Text(), "#") {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[store]\nkind = \"redis\"\naddress = \"a:1\"\nlanes = 3")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "_file") {
			return // it would read files
		}
		if _, err := parse("f", []byte(text)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

// What [peers] and [clock] can't be is one line with file, line, key and value.
func TestBadPeers(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte("a key of enough letters\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.2:7946\"]\nkey_file = \"" + key + "\"\n"
	for text, want := range map[string]string{
		good: "",
		good + "[peers.dial]\n\"127.0.0.2:7946\" = \"127.0.0.3:1\"\n": "",
		good + "[clock]\nahead = \"5s\"\nrate = 1.1\n":                "",
		good + "[takeover]\n":            "",
		"[takeover]\n":                   "takeover: it needs [peers]",
		good + "[rights]\n":              "",
		"[rights]\n":                     "rights: it needs [peers]",
		good + "secret = 1\n":            ":5: peers.secret: no such key",
		good + "[clock]\nrate = 9\n":     ":6: clock.rate: 9 is out of range",
		good + "[clock]\nahead = \"2h\"": ":6: clock.ahead: 2h0m0s is out of range",
		strings.Replace(good, "127.0.0.1:7946", "localhost:7946", 1): `:2: peers.listen: "localhost:7946" is no IP address and port`,
		strings.Replace(good, "127.0.0.1:7946", "0.0.0.0:7946", 1):   `peers.advertise: "0.0.0.0:7946": others can't reach an instance there`,
		strings.Replace(good, "127.0.0.2:7946", "127.0.0.1:7946", 1): `:3: peers.seeds: ["127.0.0.1:7946"]: that is this instance itself`,
		strings.Replace(good, "[\"127.0.0.2:7946\"]", "[]", 1):       ":3: peers.seeds: there are none",
		strings.Replace(good, "127.0.0.2:7946", "n2", 1):             `:3: peers.seeds: "n2" is no IP address and port`,
		strings.Replace(good, key, key+"no", 1):                      ":4: peers.key_file: open",
		good + "name = \"" + strings.Repeat("x", 65) + "\"\n":        "peers.name:",
		good + "seeds_file = \"" + key + "\"\n":                      "seeds are named too",
		good + "[peers.dial]\n\"127.0.0.2:7946\" = \"somewhere\"\n":  `peers.dial: "somewhere" is no IP address and port`,
	} {
		_, err := parse("f.toml", []byte(text))
		if (err == nil) != (want == "") || err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
