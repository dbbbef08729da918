package main

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/zonedrain"
)

// A hall is taken out and let in again through the file that the options name; what cannot be done is one line.
func TestHallDrill(t *testing.T) {
	dir := t.TempDir()
	options, drills := filepath.Join(dir, "options.toml"), filepath.Join(dir, "drills.toml")
	if err := os.WriteFile(options, []byte("[halls]\nnear = [\"hall-b\"]\ndrills = \""+drills+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("HITCHSPRING_OPTIONS", options)
	quiet := slog.New(slog.DiscardHandler)
	do := func(args ...string) string {
		var out strings.Builder
		if err := runCommand(args, &out, quiet); err != nil {
			t.Fatal(args, err)
		}
		return out.String()
	}
	if got := do("hall", "list"); got != "no hall is taken out\n" {
		t.Fatal(got)
	}
	if got := do("hall", "drain", "hall-a", "--for", "10m", "--by", "kari"); !strings.HasPrefix(got, "hall-a is out until ") || !strings.Contains(got, "kari") {
		t.Fatal(got)
	}
	l, err := zonedrain.Load(drills, time.Now())
	if err != nil || len(l.Active(time.Now())) != 1 {
		t.Fatal(l, err)
	}
	if got := do("hall", "return", "hall-a"); got != "no hall is taken out\n" {
		t.Fatal(got)
	}
	for want, args := range map[string][]string{
		"--for: 5h0m0s is out of range": {"hall", "drain", "hall-a", "--for", "5h"},
		"is in no drill":                {"hall", "return", "hall-z"},
		"expected \"<hall>\"":           {"hall", "drain"},
		"--at names no address":         {"status", "halls"},
	} {
		if err := runCommand(args, io.Discard, quiet); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", args, err)
		}
	}
	t.Setenv("HITCHSPRING_OPTIONS", "")
	if err := runCommand([]string{"hall", "list"}, io.Discard, quiet); err == nil || !strings.Contains(err.Error(), "halls.drills") {
		t.Error(err)
	}
}

// The status is a table, the reason in words, and JSON on request; a listener that knows no halls, or is none, is one line.
func TestStatusHalls(t *testing.T) {
	answer := `{"own":"hall-a","reach":0.66,"planned":1,"spilled":0.97,"why":"the own hall is lost: 4 of 4 nodes failed for 30ms",
		"halls":[{"name":"hall-a","tier":0,"state":"lost","why":"4 of 4 nodes failed for 30ms","nodes":4,"nominal":4,"price":1},{"name":"hall-b","tier":1,"state":"up","rate":-1,"price":1,"grey":true}]}`
	code := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(code)
		io.WriteString(w, answer)
	}))
	defer s.Close()
	at := strings.TrimPrefix(s.URL, "http://")
	quiet := slog.New(slog.DiscardHandler)
	var out strings.Builder
	if err := runCommand([]string{"status", "halls", "--at", at}, &out, quiet); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"hall-a   own       lost", "up (grey)", "3% kept, 97% spilled (planned at least 100%): the own hall is lost", "hall-a is lost: 4 of 4"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	out.Reset()
	if err := runCommand([]string{"status", "halls", "--json", "--at", at}, &out, quiet); err != nil || out.String() != answer {
		t.Error(err, out.String())
	}
	code, answer = http.StatusServiceUnavailable, "[halls] is off"
	if err := runCommand([]string{"status", "halls", "--at", at}, &out, quiet); err == nil || !strings.Contains(err.Error(), "503") || !strings.Contains(err.Error(), "[halls] is off") {
		t.Error(err)
	}
	code, answer = http.StatusOK, "hello"
	if err := runCommand([]string{"status", "halls", "--at", at}, &out, quiet); err == nil || !strings.Contains(err.Error(), "something else") {
		t.Error(err)
	}
	if err := runCommand([]string{"status", "halls", "--at", "127.0.0.1:1"}, &out, quiet); err == nil || strings.Contains(err.Error(), "\n") {
		t.Error(err)
	}
}

// Quotas are a table with their modes, for the span that was asked for.
func TestStatusBudgets(t *testing.T) {
	asked := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		io.WriteString(w, `[{"Customer":"c1","Plan":"storby","Mode":"alone","Ways":3,"Demand":40,"Age":1500000000,"Held":4.5,"Untold":2,"Room":-3,"For":10000000000,"Spend":91.2,"Uncounted":88.7}]`)
	}))
	defer s.Close()
	var out strings.Builder
	if err := runCommand([]string{"status", "budgets", "--for", "10s", "--at", strings.TrimPrefix(s.URL, "http://")}, &out, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"c1", "alone", "1.5s ago", "91.2", "88.7", "10s"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	if asked != "/budgets?for=10s" {
		t.Error(asked)
	}
}
