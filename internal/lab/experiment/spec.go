// Package experiment compares several builds and configurations of the ingress on the same scenarios and seeds. A TOML
// file describes the experiment. The variants run one after the other for each seed, in an order that rotates with the
// seed. Results are stored as JSON lines, so that an interrupted experiment can be resumed. They are summarized as text
// with confidence intervals and as an HTML page. Package lab makes the individual runs.
package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/mutation"
	"hitchspring/internal/lab/scenario"
)

// Variant is a build of the ingress with its configuration. At most one of Commit, Program and Defect is set. Without
// any, the current source is built.
type Variant struct {
	Name    string `toml:"name"`
	Commit  string `toml:"commit"`
	Program string `toml:"program"`
	Defect  string `toml:"defect"` // name of a planted defect, for a build that is known to be worse
	Store   string `toml:"store"`  // replaces the scenario's store, unless empty
	Zones   bool   `toml:"halls"`  // enables the zones section of the configuration
	Lines   string `toml:"lines"`  // additional lines of that section
}

// Spec describes an experiment.
type Spec struct {
	Name      string            `toml:"-"`
	About     string            `toml:"about"`
	Scenarios []string          `toml:"days"`
	Seeds     int               `toml:"seeds"` // number of consecutive seeds, starting at First
	First     uint64            `toml:"first"`
	Length    scenario.Duration `toml:"length"` // 0: that of the scenario
	Rate      float64           `toml:"rate"`
	Paired    bool              `toml:"paired"` // also run both variants in one testbed, with two instances each
	Variants  []Variant         `toml:"variant"`
}

// maxRuns is the maximum number of runs of an experiment.
const maxRuns = 2000

// Load reads and checks the TOML file of an experiment.
func Load(file string) (*Spec, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	s := &Spec{Name: strings.TrimSuffix(path.Base(file), ".toml")}
	if err := scenario.Decode("experiment "+s.Name, text, s); err != nil {
		return nil, err
	}
	return s, s.Check()
}

// Check sets defaults for missing fields. It returns an error that names the first invalid field and its value.
func (s *Spec) Check() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("experiment %s: %s", s.Name, fmt.Sprintf(format, args...))
	}
	if s.Seeds == 0 {
		s.Seeds = 3
	}
	if s.First == 0 {
		s.First = 1
	}
	if s.Rate == 0 {
		s.Rate = 1
	}
	switch {
	case len(s.Scenarios) == 0:
		return bad("days: none is given")
	case s.Seeds < 1:
		return bad("seeds: %d is out of range, from 1", s.Seeds)
	case len(s.Variants) == 0:
		return bad("variant: none is given")
	case s.Paired && len(s.Variants) != 2:
		return bad("paired: requires two variants, got %d", len(s.Variants))
	case len(s.Cells()) > maxRuns:
		return bad("%d runs are too many, the maximum is %d", len(s.Cells()), maxRuns)
	}
	for _, d := range s.Scenarios {
		if _, err := scenario.Load(d); err != nil {
			return bad("days: %v", err)
		}
	}
	names := map[string]bool{}
	for i, v := range s.Variants {
		set := 0
		for _, x := range []string{v.Commit, v.Program, v.Defect} {
			if x != "" {
				set++
			}
		}
		switch {
		case v.Name == "" || names[v.Name]:
			return bad("variant[%d]: name %q is missing or duplicate", i, v.Name)
		case set > 1:
			return bad("variant %s: only one of commit, program and defect may be set", v.Name)
		}
		names[v.Name] = true
	}
	return nil
}

// Cell is one run.
type Cell struct {
	Scenario string
	Seed     uint64
	Variants []int // indexes into Spec.Variants: one, or two that share a testbed
}

// Cells returns all runs in their order. The variants run one after the other for each scenario and seed, and their
// order rotates with the seed, so that a drift in the machine's speed affects all of them alike.
func (s *Spec) Cells() (out []Cell) {
	for i := range s.Seeds {
		for _, d := range s.Scenarios {
			order := make([]int, len(s.Variants))
			for k := range order {
				order[k] = (k + i) % len(order)
			}
			for _, v := range order {
				out = append(out, Cell{d, s.First + uint64(i), []int{v}})
			}
			if s.Paired {
				out = append(out, Cell{d, s.First + uint64(i), order})
			}
		}
	}
	return out
}

// RunResult is the stored result of one run.
type RunResult struct {
	Key      string      `json:"Key"`
	Scenario string      `json:"Day"`
	Seed     uint64      `json:"Seed"`
	Variants []string    `json:"Variants"`
	Code     int         `json:"Code"`
	Report   *lab.Report `json:"Report"`
}

// Builder builds the program of a variant and writes it to the file named to.
type Builder func(ctx context.Context, v Variant, to string) error

// Runner makes one run and returns its report.
type Runner func(ctx context.Context, cfg lab.Config) (*lab.Report, error)

// Build is the default Builder. It copies Program, builds Commit or the source with Defect applied, or else builds the
// current source.
func Build(ctx context.Context, v Variant, to string) (err error) {
	switch {
	case v.Program != "":
		b, err := os.ReadFile(v.Program)
		if err != nil {
			return fmt.Errorf("variant %s: %w", v.Name, err)
		}
		return os.WriteFile(to, b, 0o700)
	case v.Defect != "":
		all, err := mutation.Defects()
		if err != nil {
			return err
		}
		i := slices.IndexFunc(all, func(d mutation.Defect) bool { return d.Name == v.Defect })
		if i < 0 {
			return fmt.Errorf("variant %s: there is no defect %q", v.Name, v.Defect)
		}
		root, err := mutation.ModuleRoot(ctx)
		if err != nil {
			return err
		}
		overlay, err := all[i].WriteOverlay(root, filepath.Dir(to))
		if err != nil {
			return err
		}
		return lab.Build(ctx, to, false, overlay)
	case v.Commit != "":
		tree := to + "-tree"
		if err := runCommand(ctx, "", "git", "worktree", "add", "--detach", tree, v.Commit); err != nil {
			return fmt.Errorf("variant %s: %w", v.Name, err)
		}
		defer func() {
			cleanup := context.WithoutCancel(ctx)
			err = errors.Join(err, runCommand(cleanup, "", "git", "worktree", "remove", "--force", tree))
		}()
		return runCommand(ctx, tree, "go", "build", "-o", to, "./cmd/hitchspring")
	}
	return lab.Build(ctx, to, false, "")
}

// runCommand runs a command in dir. Its error includes the command's output.
func runCommand(ctx context.Context, dir, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	}
	return nil
}

// programDigest returns a digest of a program, so that results of another build are not reused.
func programDigest(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6]), nil
}

// key identifies a run by everything that its result depends on.
func (s *Spec) key(c Cell, digests []string) string {
	parts := []string{c.Scenario, fmt.Sprint(c.Seed), time.Duration(s.Length).String(), fmt.Sprint(s.Rate)}
	for _, i := range c.Variants {
		v := s.Variants[i]
		zones := ""
		if v.Zones {
			zones = "+halls"
		}
		parts = append(parts, v.Name+"@"+digests[i]+v.Store+zones+v.Lines)
	}
	return strings.Join(parts, " ")
}
