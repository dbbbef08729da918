// Package fleetlog adds up what many instances logged, second by second: the lines "second" that [log] summary writes. In:
// a folder of logs; out: a table of sums over the fleet. It knows no figure by name: what is new in the lines is in the table.
package fleetlog

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// mostLine bounds a line; a longer one ends the reading of its file with an error.
const maxLineBytes = 1 << 20

// Table is sums over all instances.
type Table struct {
	Seconds []time.Time                      // in order
	Metrics []string                         // in order of first sight
	Sums    map[time.Time]map[string]float64 // by second and figure; "lines" counts instances, "starts" those that began to serve
}

// Read adds up the files *.log of a folder.
func Read(dir string) (*Table, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	t := &Table{Metrics: []string{"lines", "starts"}, Sums: map[time.Time]map[string]float64{}}
	known := map[string]bool{"lines": true, "starts": true}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, maxLineBytes)
		for in.Scan() {
			t.addLine(in.Text(), known)
		}
		f.Close()
		if err := in.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	t.Seconds = slices.SortedFunc(maps.Keys(t.Sums), time.Time.Compare)
	return t, nil
}

// line adds one line up; what is not of this kind, or cut off, is passed over.
func (t *Table) addLine(text string, known map[string]bool) {
	second := strings.Contains(text, " msg=second ")
	if !second && !strings.Contains(text, " msg=serving ") {
		return
	}
	var at time.Time
	sums := map[string]float64{}
	for word := range strings.FieldsSeq(text) {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			continue
		}
		if name == "time" {
			var err error
			if at, err = time.Parse(time.RFC3339Nano, value); err != nil {
				return
			}
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil && second {
			sums[name] = n
			if !known[name] {
				known[name] = true
				t.Metrics = append(t.Metrics, name)
			}
		}
	}
	if at.IsZero() {
		return
	}
	if second {
		sums["lines"] = 1
	} else {
		sums["starts"] = 1
	}
	at = at.Add(20 * time.Millisecond).Truncate(time.Second) // a line may be written a little before its second is over
	into := t.Sums[at]
	if into == nil {
		into = map[string]float64{}
		t.Sums[at] = into
	}
	for name, n := range sums {
		into[name] += n
	}
}

// Write prints the table, a row a figure and a column a second; only names the beginnings of the figures that are wanted.
func (t *Table) Write(out io.Writer, only string) error {
	w := tabwriter.NewWriter(out, 0, 1, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "second\t")
	for _, at := range t.Seconds {
		fmt.Fprintf(w, "%d\t", int(at.Sub(t.Seconds[0]).Seconds()))
	}
	fmt.Fprintln(w, "all\t")
	for _, name := range t.Metrics {
		if only != "" && !slices.ContainsFunc(strings.Split(only, ","), func(p string) bool { return strings.HasPrefix(name, p) }) {
			continue
		}
		fmt.Fprintf(w, "%s\t", name)
		all := 0.0
		for _, at := range t.Seconds {
			fmt.Fprintf(w, "%.0f\t", t.Sums[at][name])
			all += t.Sums[at][name]
		}
		fmt.Fprintf(w, "%.0f\t\n", all)
	}
	return w.Flush()
}
