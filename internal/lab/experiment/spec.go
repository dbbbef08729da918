// Package experiment runs several builds and settings of the ingress on the same scenarios and seeds, and
// compares them. A TOML file describes the experiment. The runs of one seed follow one another, in an order
// that changes with the seed. Results are stored as JSON lines, from which an interrupted experiment continues.
// They are summarized as a text with confidence intervals and as an HTML page. Package lab makes each run.
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

// Variant is a build with its settings. Of Commit, Program and Defect one at most is set; none is this source.
type Variant struct {
	Name    string `toml:"name"`
	Commit  string `toml:"commit"`
	Program string `toml:"program"`
	Defect  string `toml:"defect"` // of lab prove: a build that is known to be worse
	Store   string `toml:"store"`  // instead of the day's
	Zones   bool   `toml:"halls"`  // the zones section of the configuration is on
	Lines   string `toml:"lines"`  // of that section, beside the usual
}

// Spec is an experiment.
type Spec struct {
	Name      string            `toml:"-"`
	About     string            `toml:"about"`
	Scenarios []string          `toml:"days"`
	Seeds     int               `toml:"seeds"` // so many, from First on
	First     uint64            `toml:"first"`
	Length    scenario.Duration `toml:"length"` // 0: the day's
	Rate      float64           `toml:"rate"`
	Paired    bool              `toml:"paired"` // two variants also share each testbed, two ingresses each
	Variants  []Variant         `toml:"variant"`
}

const maxRuns = 2000

// Load reads an experiment's file; whatever cannot be played is one clear error.
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

// Check fills what is not set and says what is wrong, with the field and the value.
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
		return bad("days: none is named")
	case s.Seeds < 1:
		return bad("seeds: %d is out of range, from 1", s.Seeds)
	case len(s.Variants) == 0:
		return bad("variant: none is given")
	case s.Paired && len(s.Variants) != 2:
		return bad("paired: wants two variants, there are %d", len(s.Variants))
	case len(s.Cells()) > maxRuns:
		return bad("%d runs are too many, %d at most", len(s.Cells()), maxRuns)
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
			return bad("variant[%d]: name %q is missing or there twice", i, v.Name)
		case set > 1:
			return bad("variant %s: commit, program and defect: one at most", v.Name)
		}
		names[v.Name] = true
	}
	return nil
}

// Cell is one run.
type Cell struct {
	Scenario string
	Seed     uint64
	Variants []int // of the spec: one, or two that share the world
}

// Cells are all runs in their order: what is compared is played next to one another, and who comes first changes.
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

// Line is one run's result, as it is stored.
type Line struct {
	Key      string      `json:"Key"`
	Scenario string      `json:"Day"`
	Seed     uint64      `json:"Seed"`
	Variants []string    `json:"Variants"`
	Code     int         `json:"Code"`
	Report   *lab.Report `json:"Report"`
}

// Builder writes the program of a variant to a file.
type Builder func(ctx context.Context, v Variant, to string) error

// Runner runs one cell and returns its report.
type Runner func(ctx context.Context, cfg lab.Config) (*lab.Report, error)

// Build is the usual builder.
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
		if err := command(ctx, "", "git", "worktree", "add", "--detach", tree, v.Commit); err != nil {
			return fmt.Errorf("variant %s: %w", v.Name, err)
		}
		defer func() {
			cleanup := context.WithoutCancel(ctx)
			err = errors.Join(err, command(cleanup, "", "git", "worktree", "remove", "--force", tree))
		}()
		return command(ctx, tree, "go", "build", "-o", to, "./cmd/hitchspring")
	}
	return lab.Build(ctx, to, false, "")
}

func command(ctx context.Context, dir, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	}
	return nil
}

// programDigest identifies a build, so that a later run does not continue with another program's results.
func programDigest(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6]), nil
}

// key names a run by all that it depends on.
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
