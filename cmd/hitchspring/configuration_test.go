package main

import (
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/config"
)

// validConfig is a configuration that uses a shared counter but has no address for it, so it needs a [store] section.
const validConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	"limits":{"cores":1,"sockets":256},"settings":{
	"replicasOfMe":1,"familyInfo":{"sharedCounter":true,"counterTimeoutUs":80000},
	"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`

// runWithoutLog runs a command, discards its log and returns its output.
func runWithoutLog(args ...string) (string, error) {
	var out strings.Builder
	err := runCommand(args, &out, slog.New(slog.DiscardHandler))
	return out.String(), err
}

// requireOneLine fails the test unless err is one line that contains want.
func requireOneLine(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Fatalf("got error %v, want one line with %q", err, want)
	}
}

// writeTemp writes a file into a new temporary directory and returns its path.
func writeTemp(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	writeFile(t, path, text)
	return path
}

// An invalid configuration is rejected with a one-line error that names the cause.
func TestBadConfiguration(t *testing.T) {
	const head = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",`
	for _, test := range []struct{ text, want string }{
		{"", "unexpected end"},
		{"{}", "listen, discovery and settings are wanted"},
		{`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"zz","settings":{}}`, "seed"},
		{head + `"settings":[]}`, "settings"},
		{head + `"settings":{},"limits":{"sockets":3}}`, "sockets are too few"},
		{
			`{"listen":"127.0.0.1:0","discovery":"nowhere","seed":"1","settings":{},"limits":{"sockets":1024}}`,
			"not an address",
		},
		{head + `"settings":{},"limits":{"sockets":1024}}`, "gateway 0 of 0"},
		{head + `"settings":{"familyInfo":{"sharedCounter":true}},"limits":{"sockets":1024}}`, "no address of it"},
	} {
		t.Run(test.want, func(t *testing.T) {
			t.Setenv(configVariable, writeTemp(t, "config.json", test.text))
			requireOneLine(t, serve("", slog.New(slog.DiscardHandler)), test.want)
		})
	}
	t.Setenv(configVariable, "")
	requireOneLine(t, serve("", slog.New(slog.DiscardHandler)), "ROUTER_CONFIG names no configuration file")
}

// The check command reports the first error or prints the effective options. The path of the options file is taken from
// --options or from the environment. Invalid command lines are one-line errors that refer to --help.
func TestCheck(t *testing.T) {
	good := writeTemp(t, "good.toml", "[store]\nkind = \"redis\"\naddress = \"127.0.0.1:6379\"\n")
	bad := writeTemp(t, "bad.toml", "[store]\nkind = \"redis\"\n")
	t.Setenv(configVariable, writeTemp(t, "config.json", validConfig))
	out, err := runWithoutLog("check", "--options", good)
	if err != nil {
		t.Fatal(err)
	}
	if want := `prefix = 'hitchspring'`; !strings.Contains(out, want) {
		t.Fatalf("got effective options\n%s\nwant them with %s", out, want)
	}
	_, err = runWithoutLog("check", "--options", bad)
	requireOneLine(t, err, bad+":1: store.address")
	_, err = runWithoutLog("check") // without the options the counter has no address
	requireOneLine(t, err, "no address of it")
	t.Setenv(optionsVariable, bad)
	for _, args := range [][]string{nil, {"check"}} {
		_, err := runWithoutLog(args...)
		requireOneLine(t, err, "store.address")
	}
	for _, args := range [][]string{{"chekc"}, {"--nonsense"}, {"check", "more"}} {
		_, err := runWithoutLog(args...)
		requireOneLine(t, err, "hitchspring --help lists the commands")
	}
}

// The [log] section of the options is applied to the configuration of the instance.
func TestLogOptions(t *testing.T) {
	path := writeTemp(t, "config.json", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
		"limits":{"sockets":256},"settings":{"replicasOfMe":1,
		"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000}]}}`)
	options, err := config.Load(writeTemp(t, "options.toml", "[log]\nsummary = \"2s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := loadConfiguration(path, options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := c.ingress.Summary, 2*time.Second; got != want {
		t.Errorf("time between two summaries: got %v, want %v", got, want)
	}
}

// A forward authentication rule with an unknown class or plan, or with an invalid path, is rejected with a one-line
// error that names the rule and the value.
func TestForwardAuthCheck(t *testing.T) {
	t.Setenv(configVariable, writeTemp(t, "config.json", forwardAuthConfigFile))
	const section = "[forward_auth]\nlisten = \"127.0.0.1:1\"\ntrusted = [\"127.0.0.1\"]\n[[forward_auth.rule]]\n"
	for rule, want := range map[string]string{
		"path = \"/x\"\nclass = \"b\"":               `forward_auth.rule[0]: class "b"`,
		"path = \"/x\"\nclass = \"a\"\nplan = \"q\"": `forward_auth.rule[0]: plan "q"`,
		"path = \"x\"\nclass = \"a\"":                `forward_auth.rule[0]: path "x"`,
	} {
		t.Run(want, func(t *testing.T) {
			_, err := runWithoutLog("check", "--options", writeTemp(t, "options.toml", section+rule+"\n"))
			requireOneLine(t, err, want)
		})
	}
}

// The output of the version command begins with the name of the program.
func TestVersion(t *testing.T) {
	out, err := runWithoutLog("version")
	if err != nil {
		t.Fatal(err)
	}
	if want := "hitchspring "; !strings.HasPrefix(out, want) {
		t.Errorf("got %q, want it to begin with %q", out, want)
	}
}
