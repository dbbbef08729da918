package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hitchspring/internal/core"
	"hitchspring/internal/golden"
	"hitchspring/internal/overrun"
	"hitchspring/internal/peers"
	"hitchspring/internal/zones"
)

// The golden files hold the tables of the status command for a response with a value in every field.
func TestGoldenStatusTables(t *testing.T) {
	for name, status := range map[string]any{
		"halls":   &zones.Status{},
		"peers":   &peers.Status{},
		"nodes":   &core.BackendsStatus{},
		"work":    &core.WorkStatus{},
		"rights":  &core.EscrowStatus{},
		"budgets": &[1]overrun.Bound{},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Fill(status)
			if s, ok := status.(*peers.Status); ok {
				s.LeftReason = "" // printPeers returns an error for an instance that has left
			}
			answer, err := json.Marshal(status)
			if err != nil {
				t.Fatal(err)
			}
			out, err := runStatus(t, respond(200, string(answer)), name)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "status-"+name, []byte(out))
		})
	}
}

// The golden file holds the help texts of the commands.
func TestGoldenHelp(t *testing.T) {
	var all strings.Builder
	for _, args := range [][]string{
		{"--help"},
		{"serve", "--help"},
		{"check", "--help"},
		{"status", "--help"},
		{"status", "budgets", "--help"},
		{"status", "nodes", "--help"},
		{"hall", "--help"},
		{"hall", "drain", "--help"},
		{"hall", "return", "--help"},
		{"version", "--help"},
	} {
		out, err := runWithoutLog(args...)
		if err != nil {
			t.Fatalf("%q: got error %v", args, err)
		}
		all.WriteString(out)
	}
	golden.Compare(t, "help", []byte(all.String()))
}

// goTypeNames matches Go type names in decoder errors; they are not part of the golden output.
var goTypeNames = regexp.MustCompile(`\b(main|settings|config)\.[A-Za-z.]+`)

// transcript runs the program repeatedly and records the exit status and output of each run.
type transcript struct {
	program string
	dir     string // directory of the files; replaced by DIR in the text
	text    strings.Builder
}

// run runs the program with a configuration file and appends its exit status and output to the text.
func (l *transcript) run(t *testing.T, configPath string, args ...string) {
	t.Helper()
	cmd := exec.Command(l.program, args...)
	cmd.Env = []string{"ROUTER_CONFIG=" + configPath}
	var stdout, stderr strings.Builder
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	exitCode := 0
	if err := cmd.Run(); err != nil {
		exitErr := (*exec.ExitError)(nil)
		if !errors.As(err, &exitErr) {
			t.Fatal(err)
		}
		exitCode = exitErr.ExitCode()
	}
	line := strings.ReplaceAll(stderr.String(), l.dir, "DIR")
	line = goTypeNames.ReplaceAllString(line, "GOTYPE")
	fmt.Fprintf(&l.text, "%d %q %s", exitCode, stdout.String(), line)
}

// file writes a file into the directory of the transcript and returns its path.
func (l *transcript) file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(l.dir, name)
	writeFile(t, path, text)
	return path
}

// The golden file holds the errors for invalid files and command lines: one line on standard error, nothing on standard
// output, and exit status 1.
func TestGoldenErrors(t *testing.T) {
	log := &transcript{program: programPath(t), dir: t.TempDir()}
	config := log.file(t, "config.json", validConfig)
	const head = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",`
	for i, text := range []string{
		"",
		"{}",
		"[]",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"zz","settings":{}}`,
		head + `"settings":[]}`,
		head + `"settings":{},"limits":{"sockets":3}}`,
		`{"listen":"127.0.0.1:0","discovery":"nowhere","seed":"1","settings":{},"limits":{"sockets":1024}}`,
		head + `"settings":{},"limits":{"sockets":1024}}`,
		head + `"settings":{"familyInfo":{"sharedCounter":true}},"limits":{"sockets":1024}}`,
	} {
		log.run(t, log.file(t, fmt.Sprintf("bad-%d.json", i), text))
	}
	for i, text := range []string{
		"[store]\nkind = \"redis\"\n",
		"[store]\nkind = \"x\"\n",
		"[nothing]\n",
		"[store]\nkind = 3\n",
		"[takeover]\n",
		"[rights]\n",
		"[halls]\npanic = 7.0\n",
		"[peers]\nname = \"a\"\n",
		"[log]\nsummary = \"1ms\"\n",
		"[metrics]\nlisten = \"x\"\n",
		"[clock]\nrate = 9.0\n",
		"[store]\nkind = \"redis\"\naddress = \"127.0.0.1:1\"\nlanes = 65\n",
		"[forward_auth]\nlisten = \"127.0.0.1:0\"\n",
	} {
		log.run(t, config, "check", "--options", log.file(t, fmt.Sprintf("bad-%d.toml", i), text))
	}
	log.run(t, config, "chekc")
	log.run(t, config, "--nonsense")
	log.run(t, config, "check", "more")
	log.run(t, "", "serve")
	log.run(t, filepath.Join(log.dir, "missing.json"), "serve")
	log.run(t, config, "check", "--options", filepath.Join(log.dir, "missing.toml"))
	log.run(t, config, "hall", "list")
	log.run(t, config, "hall", "drain", "a", "--for", "9h")
	log.run(t, config, "status", "halls")
	log.run(t, config, "status", "halls", "--at", "127.0.0.1:1")
	golden.Compare(t, "errors", []byte(log.text.String()))
}
