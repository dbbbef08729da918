// Package fleetlog sums up the logs of many instances per second. It reads a directory of logs and returns a table of
// sums over all instances. It uses the log messages "second", which instances write if the setting [log] summary is on,
// and "serving", which they write at their start. Every numeric attribute of "second" becomes a metric of the table.
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

const (
	// maxLineBytes is the maximum length of a log line. A longer line is an error.
	maxLineBytes = 1 << 20
	// maxEarly is how long before the end of its second the line of a second may be written.
	maxEarly = 20 * time.Millisecond
)

// The metrics that are counted here instead of read from the lines.
const (
	linesMetric  = "lines"  // "second" lines: instances that wrote one for the second
	startsMetric = "starts" // "serving" lines: instances that started
)

// Table holds the sums of metrics over all instances.
type Table struct {
	Seconds []time.Time                      // ascending
	Metrics []string                         // in the order of their first appearance
	Sums    map[time.Time]map[string]float64 // by second and metric
}

// Read sums up the *.log files of a directory.
func Read(dir string) (*Table, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	table := &Table{Metrics: []string{linesMetric, startsMetric}, Sums: map[time.Time]map[string]float64{}}
	known := map[string]bool{linesMetric: true, startsMetric: true}
	for _, name := range files {
		if err := table.addFile(name, known); err != nil {
			return nil, err
		}
	}
	table.Seconds = slices.SortedFunc(maps.Keys(table.Sums), time.Time.Compare)
	return table, nil
}

// addFile adds the lines of one file.
func (t *Table) addFile(name string, known map[string]bool) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.addLine(scanner.Text(), known)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// addLine adds one line. It skips lines with other messages and truncated lines.
func (t *Table) addLine(text string, known map[string]bool) {
	isSecond := strings.Contains(text, " msg=second ")
	if !isSecond && !strings.Contains(text, " msg=serving ") {
		return
	}
	var at time.Time
	values := map[string]float64{}
	for field := range strings.FieldsSeq(text) {
		name, value, isAttribute := strings.Cut(field, "=")
		if !isAttribute {
			continue
		}
		if name == "time" {
			var err error
			if at, err = time.Parse(time.RFC3339Nano, value); err != nil {
				return
			}
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil && isSecond {
			values[name] = number
			t.addMetric(name, known)
		}
	}
	if at.IsZero() {
		return
	}
	if isSecond {
		values[linesMetric] = 1
	} else {
		values[startsMetric] = 1
	}
	t.addValues(at.Add(maxEarly).Truncate(time.Second), values)
}

// addMetric adds a metric to the list of metrics unless it is known.
func (t *Table) addMetric(name string, known map[string]bool) {
	if !known[name] {
		known[name] = true
		t.Metrics = append(t.Metrics, name)
	}
}

// addValues adds the values of one line to the sums of a second.
func (t *Table) addValues(second time.Time, values map[string]float64) {
	sums := t.Sums[second]
	if sums == nil {
		sums = map[string]float64{}
		t.Sums[second] = sums
	}
	for name, value := range values {
		sums[name] += value
	}
}

// Write prints the table with a row per metric and a column per second. prefixes is a comma-separated list of name
// prefixes that selects the metrics to print; an empty list selects all.
func (t *Table) Write(out io.Writer, prefixes string) error {
	table := tabwriter.NewWriter(out, 0, 1, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "second\t")
	for _, second := range t.Seconds {
		fmt.Fprintf(table, "%d\t", int(second.Sub(t.Seconds[0]).Seconds()))
	}
	fmt.Fprintln(table, "all\t")
	for _, name := range t.Metrics {
		if !hasPrefix(name, prefixes) {
			continue
		}
		fmt.Fprintf(table, "%s\t", name)
		total := 0.0
		for _, second := range t.Seconds {
			fmt.Fprintf(table, "%.0f\t", t.Sums[second][name])
			total += t.Sums[second][name]
		}
		fmt.Fprintf(table, "%.0f\t\n", total)
	}
	return table.Flush()
}

// hasPrefix reports whether a name begins with one of the comma-separated prefixes, or prefixes is empty.
func hasPrefix(name, prefixes string) bool {
	return prefixes == "" || slices.ContainsFunc(strings.Split(prefixes, ","), func(prefix string) bool {
		return strings.HasPrefix(name, prefix)
	})
}
