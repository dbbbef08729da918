// Package prove shows that the judge sees what it is there to see: it plants defects in the ingress, each a small change of
// its source that go build -overlay puts in place of the real one, plays the day that should show it, and looks for the
// expected break in the verdict. In: the defects that come with the program. Out: seen or missed, for each. No source file
// is written.
package mutation

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
)

//go:embed defects/*.toml
var defectFiles embed.FS

// Edit is one change: the text found, which must stand exactly once in the file, is replaced.
type Edit struct {
	File    string `toml:"file"` // from the module's root
	Find    string `toml:"find"`
	Replace string `toml:"replace"`
}

// Defect is a break of a rule that is planted on purpose.
type Defect struct {
	Name               string   `toml:"-"`
	About              string   `toml:"about"`
	Rule               string   `toml:"rule"` // a short name: lost, twice, drains, cold, ceilings or quotas
	Component          string   `toml:"part"` // what it is planted in: logic, core, a front or a store
	Scenario           string   `toml:"day"`
	Store              string   `toml:"store"`    // instead of the day's
	Zones              bool     `toml:"halls"`    // the ingresses know of halls
	Peers              int      `toml:"peers"`    // so many ingresses that know one another; 0: the day's, which don't
	Takeover           bool     `toml:"takeover"` // work in hand survives its ingress; Peers too
	LocallyUnreachable string   `toml:"left"`     // with rule words: the node that the first ingress alone can't reach, and the others must not leave
	ShortSet           bool     `toml:"short"`    // it belongs to the short set, which CI plays
	Faults             []string `toml:"faults"`   // beside the day's
	Edits              []Edit   `toml:"edit"`
}

// rules are the short names.
var ruleNames = map[string]string{"lost": rulecheck.NoRequestLost, "twice": rulecheck.NoEffectTwice, "drains": rulecheck.Drains, "cold": rulecheck.SlowStart, "ceilings": rulecheck.Ceilings, "quotas": lab.Quotas, "words": lab.Reports, "once": lab.OnceByKey}

// Defects are all that come with the program, by name.
func Defects() ([]Defect, error) {
	entries, err := defectFiles.ReadDir("defects")
	if err != nil {
		return nil, err
	}
	var out []Defect
	for _, e := range entries {
		text, err := defectFiles.ReadFile(path.Join("defects", e.Name()))
		if err != nil {
			return nil, err
		}
		d, err := parseDefect(strings.TrimSuffix(e.Name(), ".toml"), text)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func parseDefect(name string, text []byte) (Defect, error) {
	d := Defect{Name: name}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&d); err != nil {
		return d, fmt.Errorf("defect %s: %w", name, err)
	}
	switch {
	case ruleNames[d.Rule] == "":
		return d, fmt.Errorf("defect %s: rule: %q is none of lost, twice, drains, cold, ceilings, quotas, words, once", name, d.Rule)
	case d.About == "" || d.Component == "" || len(d.Edits) == 0:
		return d, fmt.Errorf("defect %s: about, part and edit are wanted", name)
	case !slices.Contains(scenario.Names(), d.Scenario):
		return d, fmt.Errorf("defect %s: day: there is no %q", name, d.Scenario)
	}
	d.Edits = append(d.Edits, disableGuards)
	return d, nil
}

// unguarded has the ingress hold nothing back by its own invariants: it is the judge that is to see a defect.
var disableGuards = Edit{File: "internal/core/guards.go", Find: "const enforced = true", Replace: "const enforced = false"}

// Plant writes the changed files and the overlay that puts them in place into dir, and returns the overlay's path. A place
// that is not there, or more than once, is an error: the source has moved, and the defect must follow.
func (d Defect) Plant(root, dir string) (overlay string, err error) {
	texts := map[string]string{}
	for i, e := range d.Edits {
		file := filepath.Join(root, filepath.FromSlash(e.File))
		text, known := texts[file]
		if !known {
			b, err := os.ReadFile(file)
			if err != nil {
				return "", fmt.Errorf("defect %s: edit %d: its file has moved: %w", d.Name, i+1, err)
			}
			text = string(b)
		}
		find := strings.TrimRight(e.Find, "\n")
		if n := strings.Count(text, find); n != 1 {
			return "", fmt.Errorf("defect %s: edit %d: its place in %s is there %d times, not once: the source has changed, and the defect must follow:\n%s", d.Name, i+1,
				e.File, n, find)
		}
		texts[file] = strings.Replace(text, find, strings.TrimRight(e.Replace, "\n"), 1)
	}
	replace := map[string]string{}
	for file, text := range texts {
		to := filepath.Join(dir, fmt.Sprintf("%s-%d.go", d.Name, len(replace)))
		if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
			return "", err
		}
		replace[file] = to
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, d.Name+".json")
	return overlay, os.WriteFile(overlay, b, 0o600)
}

// Root is the module's folder.
func ModuleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}", "hitchspring").Output()
	if err != nil {
		return "", fmt.Errorf("finding the source, which a defect is planted in: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// Config says what is proved.
type Config struct {
	Names     []string // names, or rules; empty: all
	ShortSet  bool     // the short set alone
	Seed      uint64   // the first
	Seeds     int      // for each defect
	Untouched bool     // the untouched build is played on the same days as well, and must stay clean
	Jobs      int      // runs at a time
	Output    io.Writer
}

// Result is one run of one defect, or of the untouched build where Defect is empty.
type Result struct {
	Defect          string            `json:"Defect"`
	Rule            string            `json:"Rule"`
	Component       string            `json:"Part"`
	Scenario        string            `json:"Day"`
	Seed            uint64            `json:"Seed"`
	Detected        bool              `json:"Seen"`
	DetectedAfterS  float64           `json:"AfterS"` // seconds of load until it shows
	OtherViolations []string          `json:"Also"`
	Doubts          []string          `json:"Doubts"` // why the run could not be judged
	Margins         rulecheck.Margins `json:"Edges"`
	Error           string            `json:"Err,omitempty"`
}

// job is a build with a day.
type job struct {
	defect  Defect
	program string
	seed    uint64
}

// Run builds, plays and judges. An error means that it could not be done, not that something was missed.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	all, err := Defects()
	if err != nil {
		return nil, err
	}
	all = slices.DeleteFunc(all, func(d Defect) bool {
		return cfg.ShortSet && !d.ShortSet || len(cfg.Names) > 0 && !slices.Contains(cfg.Names, d.Name) && !slices.Contains(cfg.Names, d.Rule)
	})
	if len(all) == 0 {
		return nil, fmt.Errorf("no defect is called %s, and no rule", strings.Join(cfg.Names, " or "))
	}
	root, err := ModuleRoot(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-prove-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var jobs []job
	if cfg.Untouched {
		program := filepath.Join(dir, "untouched")
		if err := lab.Build(ctx, program, false, ""); err != nil {
			return nil, err
		}
		done := map[string]bool{}
		for _, d := range all {
			if key := d.Scenario + d.Store + strings.Join(d.Faults, ";"); !done[key] {
				done[key] = true
				for s := range cfg.Seeds {
					jobs = append(jobs, job{Defect{Scenario: d.Scenario, Store: d.Store, Faults: d.Faults, Peers: d.Peers, LocallyUnreachable: d.LocallyUnreachable, Takeover: d.Takeover}, program, cfg.Seed + uint64(s)})
				}
			}
		}
	}
	built := make([]error, len(all))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, cfg.Jobs))
	for i, d := range all {
		overlay, err := d.Plant(root, dir)
		if err != nil {
			wg.Wait()
			return nil, err
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := lab.Build(ctx, filepath.Join(dir, d.Name), false, overlay); err != nil {
				built[i] = fmt.Errorf("defect %s: %w", d.Name, err)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(built...); err != nil {
		return nil, err
	}
	for _, d := range all {
		for s := range cfg.Seeds {
			jobs = append(jobs, job{d, filepath.Join(dir, d.Name), cfg.Seed + uint64(s)})
		}
	}
	return runJobs(ctx, cfg, jobs), ctx.Err()
}

func runJobs(ctx context.Context, cfg Config, jobs []job) []Result {
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	var mu sync.Mutex // of Out
	next := make(chan int)
	for range max(1, cfg.Jobs) {
		wg.Go(func() {
			for i := range next {
				results[i] = jobs[i].runUntilConclusive(ctx)
				if cfg.Output != nil {
					mu.Lock()
					fmt.Fprintln(cfg.Output, results[i])
					mu.Unlock()
				}
			}
		})
	}
	for i := range jobs {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return results
}

// again is how often a run that can't be judged is played with another seed.
const maxReruns = 2

// judged plays until a run says something: one in which the lab was late, or which did not come near its day's edges, is no
// proof either way.
func (j job) runUntilConclusive(ctx context.Context) (r Result) {
	for range 1 + maxReruns {
		if r = j.runOnce(ctx); r.Error != "" || r.Detected || len(r.OtherViolations) > 0 || len(r.Doubts) == 0 || ctx.Err() != nil {
			break
		}
		j.seed += 1000
	}
	return r
}

func (j job) runOnce(ctx context.Context) Result {
	r := Result{Defect: j.defect.Name, Rule: j.defect.Rule, Component: j.defect.Component, Scenario: j.defect.Scenario, Seed: j.seed}
	rep, err := lab.Run(ctx, lab.Config{Scenario: j.defect.Scenario, Store: j.defect.Store, Faults: j.defect.Faults, Seed: j.seed, Ingress: j.program, Zones: j.defect.Zones, Ingresses: j.defect.Peers, Peers: j.defect.Peers > 0, Takeover: j.defect.Takeover})
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Doubts, r.Margins = rep.Doubts(), rep.Margins
	if j.defect.LocallyUnreachable != "" {
		rep.Violations = append(rep.Violations, rep.LeftOnReport(j.defect.LocallyUnreachable, 0)...)
	}
	if j.defect.Takeover {
		rep.Violations = append(rep.Violations, rep.CheckOnce()...)
	}
	for _, b := range rep.Violations {
		switch {
		case b.Doubtful:
		case j.defect.Name != "" && b.Rule == ruleNames[j.defect.Rule]:
			if after := max(0, b.Until.Seconds()-rep.BeganS); !r.Detected || after < r.DetectedAfterS {
				r.Detected, r.DetectedAfterS = true, after
			}
		default:
			r.OtherViolations = append(r.OtherViolations, fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Detail))
		}
	}
	for _, c := range rep.Crashed {
		r.OtherViolations = append(r.OtherViolations, c)
	}
	return r
}

// String is one line for people.
func (r Result) String() string {
	name := r.Defect
	if name == "" {
		name = "(untouched)"
	}
	line := fmt.Sprintf("%-22s %-9s %-12s %-12s seed %3d  ", name, r.Rule, r.Component, r.Scenario, r.Seed)
	switch {
	case r.Error != "":
		return line + "NOT PLAYED: " + r.Error
	case r.Defect == "" && len(r.OtherViolations) == 0 && len(r.Doubts) == 0:
		return line + "clean"
	case r.Defect == "" && len(r.OtherViolations) == 0:
		return line + "can't judge: " + strings.Join(r.Doubts, "; ")
	case r.Defect == "":
		return line + "FALSE ALARM, or a true break: " + strings.Join(r.OtherViolations[:min(3, len(r.OtherViolations))], "; ")
	case r.Detected:
		return line + fmt.Sprintf("seen after %.1f s", r.DetectedAfterS)
	case len(r.Doubts) > 0:
		return line + "MISSED; the run can't be judged: " + strings.Join(r.Doubts, "; ")
	}
	return line + fmt.Sprintf("MISSED: %+v", r.Margins)
}

// ErrMissed is a defect that was not seen, or an alarm on the untouched build.
var ErrMissed = errors.New("the judge does not see what it must")

// Sum says what the results come to: nil, or ErrMissed with the figures.
func Summarize(results []Result) (text string, err error) {
	type tally struct{ seen, runs int }
	defects := map[string]*tally{}
	var names []string
	clean, alarms, doubts, wrong := 0, 0, 0, 0
	slowest := time.Duration(0)
	for _, r := range results {
		switch {
		case r.Error != "":
			wrong++
		case r.Defect == "" && len(r.OtherViolations) > 0:
			alarms++
		case r.Defect == "" && len(r.Doubts) > 0:
			doubts++
		case r.Defect == "":
			clean++
		default:
			t := defects[r.Defect]
			if t == nil {
				t = &tally{}
				defects[r.Defect] = t
				names = append(names, r.Defect)
			}
			t.runs++
			if r.Detected {
				t.seen++
				slowest = max(slowest, time.Duration(r.DetectedAfterS*float64(time.Second)))
			}
		}
	}
	seen := 0
	var missed []string
	for _, n := range names {
		if t := defects[n]; t.seen == t.runs {
			seen++
		} else {
			missed = append(missed, fmt.Sprintf("%s in %d of %d", n, t.seen, t.runs))
		}
	}
	text = fmt.Sprintf("%d of %d defects seen in every run, the slowest after %.1f s; the untouched build: %d clean, %d alarms, %d that could not be judged; %d not played", seen, len(names),
		slowest.Seconds(), clean, alarms, doubts, wrong)
	if len(missed) > 0 {
		text += "\nnot always seen: " + strings.Join(missed, ", ")
	}
	if len(missed) > 0 || alarms > 0 || wrong > 0 {
		return text, ErrMissed
	}
	return text, nil
}
