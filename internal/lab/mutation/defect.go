package mutation

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
)

//go:embed defects/*.toml
var defectFiles embed.FS

// Edit is a replacement in a source file. Find must occur exactly once.
type Edit struct {
	File    string `toml:"file"` // path from the module's root
	Find    string `toml:"find"`
	Replace string `toml:"replace"`
}

// Defect is a change of the ingress that makes it break a rule.
type Defect struct {
	Name      string `toml:"-"`
	About     string `toml:"about"`
	Rule      string `toml:"rule"` // the short name of the rule it breaks, a key of ruleNames
	Component string `toml:"part"` // what it is planted in: policy, core, a front or a store
	// Scenario is the name of the scenario that shows the defect. The fields from Store to Takeover and Faults change
	// that scenario.
	Scenario string `toml:"day"`
	Store    string `toml:"store"`    // replaces the scenario's store
	Zones    bool   `toml:"halls"`    // the ingresses know their zones
	Peers    int    `toml:"peers"`    // number of ingresses, which gossip; 0: the scenario's number, without gossip
	Takeover bool   `toml:"takeover"` // peers take over the pending work of an ingress that dies; needs Peers
	// LocallyUnreachable, used with the rule "words", is the backend that only the first ingress cannot reach. The
	// other ingresses must go on using it.
	LocallyUnreachable string   `toml:"left"`
	ShortSet           bool     `toml:"short"`  // part of the short set, which CI runs
	Faults             []string `toml:"faults"` // added to those of the scenario
	Edits              []Edit   `toml:"edit"`
}

// ruleNames maps the short names of the rules to their names in a report.
var ruleNames = map[string]string{
	"lost":     rulecheck.NoRequestLost,
	"twice":    rulecheck.NoEffectTwice,
	"drains":   rulecheck.Drains,
	"cold":     rulecheck.SlowStart,
	"ceilings": rulecheck.Ceilings,
	"quotas":   lab.RuleQuotas,
	"words":    lab.RuleReports,
	"once":     lab.RuleOnceByKey,
}

// disableGuards stops the ingress from enforcing its own invariants, which would hide a defect from the rule checker.
var disableGuards = Edit{
	File:    "internal/core/guards.go",
	Find:    "const enforced = true",
	Replace: "const enforced = false",
}

// Defects returns the defects that are part of the program, sorted by name.
func Defects() ([]Defect, error) {
	entries, err := defectFiles.ReadDir("defects")
	if err != nil {
		return nil, err
	}
	var defects []Defect
	for _, entry := range entries {
		text, err := defectFiles.ReadFile(path.Join("defects", entry.Name()))
		if err != nil {
			return nil, err
		}
		defect, err := parseDefect(strings.TrimSuffix(entry.Name(), ".toml"), text)
		if err != nil {
			return nil, err
		}
		defects = append(defects, defect)
	}
	return defects, nil
}

// parseDefect reads and checks the TOML text of one defect.
func parseDefect(name string, text []byte) (Defect, error) {
	defect := Defect{Name: name}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&defect); err != nil {
		return defect, fmt.Errorf("defect %s: %w", name, err)
	}
	switch {
	case ruleNames[defect.Rule] == "":
		return defect, fmt.Errorf(
			"defect %s: rule: %q is none of lost, twice, drains, cold, ceilings, quotas, words, once",
			name, defect.Rule)
	case defect.About == "" || defect.Component == "" || len(defect.Edits) == 0:
		return defect, fmt.Errorf("defect %s: about, part and edit are wanted", name)
	case !slices.Contains(scenario.Names(), defect.Scenario):
		return defect, fmt.Errorf("defect %s: day: there is no %q", name, defect.Scenario)
	}
	defect.Edits = append(defect.Edits, disableGuards)
	return defect, nil
}

// WriteOverlay writes the changed files and an overlay for go build, which substitutes them for the real ones, into
// dir. It returns the path of the overlay. It fails if the text of an edit does not occur exactly once: the source has
// changed then, and the edit must be updated.
func (d Defect) WriteOverlay(root, dir string) (overlay string, err error) {
	texts, err := d.applyEdits(root)
	if err != nil {
		return "", err
	}
	replacements := map[string]string{}
	for file, text := range texts {
		changed := filepath.Join(dir, fmt.Sprintf("%s-%d.go", d.Name, len(replacements)))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			return "", err
		}
		replacements[file] = changed
	}
	content, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, d.Name+".json")
	return overlay, os.WriteFile(overlay, content, 0o600)
}

// applyEdits returns the changed text of each file that the defect edits, by the file's path.
func (d Defect) applyEdits(root string) (map[string]string, error) {
	texts := map[string]string{}
	for i, edit := range d.Edits {
		file := filepath.Join(root, filepath.FromSlash(edit.File))
		text, read := texts[file]
		if !read {
			content, err := os.ReadFile(file)
			if err != nil {
				return nil, fmt.Errorf("defect %s: edit %d: reading its file: %w", d.Name, i+1, err)
			}
			text = string(content)
		}
		find := strings.TrimRight(edit.Find, "\n")
		if count := strings.Count(text, find); count != 1 {
			return nil, fmt.Errorf("defect %s: edit %d: its text in %s is there %d times, not once: "+
				"the source has changed, and the edit must be updated:\n%s", d.Name, i+1, edit.File, count, find)
		}
		texts[file] = strings.Replace(text, find, strings.TrimRight(edit.Replace, "\n"), 1)
	}
	return texts, nil
}

// ModuleRoot returns the directory of the module's source.
func ModuleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}", "hitchspring").Output()
	if err != nil {
		return "", fmt.Errorf("finding the source in which defects are planted: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}
