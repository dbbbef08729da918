// Package drill keeps the file of drills: halls that are taken out on purpose, each until a time. In: a path that all instances
// share, as they do their options, and an operator's words. Out: which halls are out by now. A file that cannot be read
// changes nothing. It knows neither nodes nor the decision module.
package zonedrain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a file. A drill ends by itself: nobody has to remember it.
const (
	MaxDuration = 4 * time.Hour // from now on that a drill may last
	mostFile    = 64 << 10
	mostList    = 64
)

// Drill is one hall that is out.
type Drain struct {
	Zone   string    `toml:"hall"`
	Until  time.Time `toml:"until"`
	By     string    `toml:"by,omitempty"`
	Reason string    `toml:"why,omitempty"`
}

// List is the file.
type List struct {
	Drains []Drain `toml:"drill"`
}

// Parse reads a file's text; it is taken whole or not at all. now is for the bound on a drill's end.
func Parse(text []byte, now time.Time) (List, error) {
	var l List
	if len(text) > mostFile {
		return l, fmt.Errorf("drills: larger than %d bytes", mostFile)
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&l); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			row, _ := strict.Errors[0].Position()
			return List{}, fmt.Errorf("drills: line %d: %s: no such key", row, strings.Join(strict.Errors[0].Key(), "."))
		}
		return List{}, fmt.Errorf("drills: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if len(l.Drains) > mostList {
		return List{}, fmt.Errorf("drills: %d are too many, %d at most", len(l.Drains), mostList)
	}
	for i, d := range l.Drains {
		if err := d.check(now); err != nil {
			return List{}, fmt.Errorf("drill[%d].%w", i, err)
		}
	}
	return l, nil
}

func (d Drain) check(now time.Time) error {
	switch {
	case d.Zone == "":
		return errors.New("hall: missing")
	case len(d.Zone) > 100 || strings.ContainsAny(d.Zone, "\r\n"):
		return fmt.Errorf("hall: %.20q is no name", d.Zone)
	case d.Until.IsZero():
		return fmt.Errorf("until: missing for hall %q", d.Zone)
	case d.Until.After(now.Add(MaxDuration + time.Minute)):
		return fmt.Errorf("until: %s is more than %v ahead", d.Until.Format(time.RFC3339), MaxDuration)
	}
	return nil
}

// Load reads a file; one that does not exist holds none.
func Load(path string, now time.Time) (List, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return List{}, nil
	}
	if err != nil {
		return List{}, fmt.Errorf("drills: %w", err)
	}
	if len(text) == 0 { // half written: to end all drills the file is removed, or holds a comment
		return List{}, fmt.Errorf("%s: drills: the file is empty", path)
	}
	l, err := Parse(text, now)
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", path, err)
	}
	return l, nil
}

// Out are the halls that are out at a time, with the end of each.
func (l List) Active(now time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	for _, d := range l.Drains {
		if d.Until.After(now) && d.Until.After(out[d.Zone]) {
			out[d.Zone] = d.Until
		}
	}
	return out
}

// Begin adds a drill in place of the hall's earlier one, and leaves out those that are over.
func (l List) Start(d Drain, now time.Time) (List, error) {
	if err := d.check(now); err != nil {
		return l, err
	}
	if !d.Until.After(now) {
		return l, fmt.Errorf("until: %s is over", d.Until.Format(time.RFC3339))
	}
	l = l.End(d.Zone, now)
	l.Drains = append(l.Drains, d)
	if len(l.Drains) > mostList {
		return l, fmt.Errorf("drills: %d are too many, %d at most", len(l.Drains), mostList)
	}
	return l, nil
}

// End takes a hall's drill out, with those that are over.
func (l List) End(hall string, now time.Time) List {
	return List{slices.DeleteFunc(slices.Clone(l.Drains), func(d Drain) bool { return d.Zone == hall || !d.Until.After(now) })}
}

// Save writes the file in place of the old one: whoever reads it meanwhile sees one of the two, whole.
func (l List) Save(path string) error {
	var b bytes.Buffer
	b.WriteString("# Halls that are taken out on purpose. Written by hitchspring hall; read again by every instance within a second.\n")
	if err := toml.NewEncoder(&b).Encode(l); err != nil {
		return fmt.Errorf("drills: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".drills-*")
	if err != nil {
		return fmt.Errorf("drills: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b.Bytes())
	err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("drills: %w", err)
	}
	return nil
}

// Watch reads the file now and again until ctx ends, and tells of each change of the halls that are out. A file that cannot be
// read is logged once; what was last read goes on, to its own end.
func Watch(ctx context.Context, path string, every time.Duration, tell func(map[string]time.Time), log *slog.Logger) {
	var told map[string]time.Time
	complained := ""
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		l, err := Load(path, time.Now())
		switch {
		case err != nil && err.Error() != complained:
			complained = err.Error()
			log.Error("the old drills are kept", "err", err)
		case err == nil:
			complained = ""
			if out := l.Active(time.Now()); !maps.EqualFunc(out, told, time.Time.Equal) {
				told = out
				tell(out)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
