package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hitchspring/internal/lab"
)

// writeSpec writes an experiment's file and returns its path.
func writeSpec(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "try.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

const validSpec = `about = "x"
days = ["calm", "evening"]
seeds = 3
paired = true
[[variant]]
name = "base"
commit = "HEAD"
[[variant]]
name = "worse"
defect = "quota-open"
`

func TestLoadRejectsInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"dyas = []":         `line 1: unknown key "dyas"`,
		"days = []":         "days: none is given",
		"days = [\"calm\"]": "variant: none is given",
		"days = [\"clam\"]\n[[variant]]\nname = \"a\"":                                  `day "clam"`,
		"days = [\"calm\"]\nseeds = -1\n[[variant]]\nname = \"a\"":                      "seeds: -1",
		"days = [\"calm\"]\nseeds = 9999\n[[variant]]\nname = \"a\"":                    "too many",
		"days = [\"calm\"]\npaired = true\n[[variant]]\nname = \"a\"":                   "paired: requires two",
		"days = [\"calm\"]\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"a\"":       "missing or duplicate",
		"days = [\"calm\"]\n[[variant]]\nname = \"a\"\ncommit = \"x\"\nprogram = \"y\"": "only one of",
	} {
		if _, err := Load(writeSpec(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The variants of a seed run one after the other, and the first variant changes with the seed.
func TestCellsAlternateVariants(t *testing.T) {
	s, err := Load(writeSpec(t, validSpec))
	if err != nil {
		t.Fatal(err)
	}
	cells := s.Cells()
	if len(cells) != 3*2*3 {
		t.Fatal(len(cells))
	}
	if cells[0].Variants[0] != 0 || cells[6].Variants[0] != 1 || cells[6].Seed != 2 || len(cells[8].Variants) != 2 ||
		cells[8].Variants[0] != 1 {
		t.Fatal(cells[:9])
	}
}

// fakeRunner returns a Runner whose reports are computed from the program and the seed. It counts its calls, and fails
// at the call with the number stop.
func fakeRunner(calls *int, stop int) Runner {
	return func(ctx context.Context, cfg lab.Config) (*lab.Report, error) {
		if *calls++; *calls == stop {
			return nil, errors.New("run interrupted")
		}
		text, err := os.ReadFile(cfg.Ingress)
		if err != nil {
			return nil, err
		}
		r := &lab.Report{
			Scenario:        cfg.Scenario,
			Seed:            cfg.Seed,
			Service:         0.9 - 0.1*float64(len(text)-4)/1 + 0.001*float64(cfg.Seed),
			CPUPerRequestUS: 100,
			Processes: []lab.Process{
				{Attempts: 100, CPUSeconds: 0.01, PeakMB: 10},
				{Attempts: 100, CPUSeconds: 0.02, PeakMB: 12},
			},
			Rows: []lab.Row{
				{Class: "guide-read", Plan: "by", Requests: 10, InTime: 9},
			},
			Events:   []lab.TimelineEvent{{AtS: 1, Description: "node/1:drain"}},
			Timeline: []lab.Second{{Requests: 10, InTime: 9, P99MS: 100}, {Requests: 10, InTime: 8, P99MS: 200}},
			Backends: []lab.BackendTrack{
				{Backend: "node-00", Zone: "hall-a", InFlight: []float64{1, 2, -1}},
				{Backend: "node-01", Zone: "hall-b", InFlight: []float64{1, 20, 3}},
			},
		}
		return r, nil
	}
}

// fakeBuild is a Builder whose programs contain the variant's name.
func fakeBuild(_ context.Context, v Variant, to string) error {
	return os.WriteFile(to, []byte(v.Name), 0o600)
}

// After an interruption, stored results are not computed again, except one whose line is incomplete. Results of another
// build of a variant are not reused.
func TestRunResumesAfterInterruption(t *testing.T) {
	s, err := Load(writeSpec(t, validSpec))
	if err != nil {
		t.Fatal(err)
	}
	results, calls := filepath.Join(t.TempDir(), "results.jsonl"), 0
	cfg := Config{Results: results, Build: fakeBuild, Run: fakeRunner(&calls, 7)}
	if lines, err := s.Run(t.Context(), cfg); err == nil || len(lines) != 6 {
		t.Fatal(len(lines), err)
	}
	text, err := os.ReadFile(results)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(results, text[:len(text)-20], 0o600); err != nil { // an incomplete line
		t.Fatal(err)
	}
	calls, cfg.Run = 0, fakeRunner(&calls, 0)
	lines, err := s.Run(t.Context(), cfg)
	if err != nil || len(lines) != 18 || calls != 13 {
		t.Fatal(len(lines), calls, err)
	}
	calls = 0
	if lines, err = s.Run(t.Context(), cfg); err != nil || len(lines) != 18 || calls != 0 {
		t.Fatal(len(lines), calls, err)
	}
	cfg.Build = func(_ context.Context, v Variant, to string) error {
		return os.WriteFile(to, []byte(v.Name+"!"), 0o600)
	}
	if _, err := s.Run(t.Context(), cfg); err != nil || calls != 18 {
		t.Fatal(calls, err)
	}
}

// A variant that is worse is reported as worse, with a confidence interval that excludes zero. The page contains its
// charts, and refers to no external resources.
func TestRowsAndPage(t *testing.T) {
	s, err := Load(writeSpec(t, validSpec))
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	lines, err := s.Run(
		t.Context(),
		Config{Results: filepath.Join(t.TempDir(), "r.jsonl"), Build: fakeBuild, Run: fakeRunner(&calls, 0)},
	)
	if err != nil {
		t.Fatal(err)
	}
	rows := s.Rows(lines)
	if len(rows) != 4 || rows[1].Variant != "worse" || math.Abs(rows[1].Diff.Mean+0.1) > 1e-9 ||
		rows[1].Diff.Half > 1e-6 ||
		rows[1].Runs != 3 {
		t.Fatalf("%+v", rows)
	}
	// The first variant of a pair gets the cheaper process, and the order rotates, so each run's ratio is 2 or 1/2.
	if p := s.Pairs(lines); len(p) != 2 || p[0].CPU.N != 3 || p[0].CPU.Mean < 0.9 {
		t.Fatalf("%+v", p)
	}
	var b bytes.Buffer
	if err := s.Page(&b, lines); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{
		"Answered in time", "99th percentile", "By plan and class", "Nodes, base", "Differences",
		"<svg ", "node/1:drain", "prefers-color-scheme",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, never := range []string{"http://", "https://", "<script", "#000000"} {
		if strings.Contains(
			strings.ReplaceAll(
				strings.ReplaceAll(text, "http://www.w3.org/2000/svg", ""),
				"http://www.w3.org/1999/xlink",
				"",
			),
			never,
		) {
			t.Errorf("the page contains %q", never)
		}
	}
}

func TestEstimate(t *testing.T) {
	if e := estimate([]float64{1, 2, 3}); math.Abs(e.Mean-2) > 1e-9 || math.Abs(e.Half-2.484) > 0.01 {
		t.Fatal(e)
	}
	if e := estimate([]float64{1}); !math.IsInf(e.Half, 1) || !strings.Contains(e.String(), "one run") {
		t.Fatal(e)
	}
}
