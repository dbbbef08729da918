// Package zonedrain keeps the file of zone drains: zones that operators have taken out of service, each until a time.
// All instances share the file's path, as they do their options; operators change the file by a command of the program.
// Parse, Load and Save read and write it, and Watch reports which zones are out by now. A file that can't be read
// changes nothing. The package knows neither backends nor the policy module.
package zonedrain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxDuration is how far ahead the end of a drain may lie. Each drain ends by itself, so that nobody has to
	// remember it.
	MaxDuration = 4 * time.Hour
	// endTolerance is what the end may lie further ahead in a file that is read, as clocks differ.
	endTolerance = time.Minute

	maxDrains     = 64
	maxNameLength = 100 // bytes of a zone's name
)

// Drain is one zone that is out of service.
type Drain struct {
	Zone   string    `toml:"hall"`
	Until  time.Time `toml:"until"`
	By     string    `toml:"by,omitempty"`  // the operator; may be empty
	Reason string    `toml:"why,omitempty"` // may be empty
}

// List is the content of the file.
type List struct {
	Drains []Drain `toml:"drill"`
}

// check returns an error that names the field and the value of what a drain can't mean.
func (d Drain) check(now time.Time) error {
	switch {
	case d.Zone == "":
		return errors.New("hall: missing")
	case len(d.Zone) > maxNameLength || strings.ContainsAny(d.Zone, "\r\n"):
		return fmt.Errorf("hall: %.20q is no name", d.Zone)
	case d.Until.IsZero():
		return fmt.Errorf("until: missing for hall %q", d.Zone)
	case d.Until.After(now.Add(MaxDuration + endTolerance)):
		return fmt.Errorf("until: %s is more than %v ahead", d.Until.Format(time.RFC3339), MaxDuration)
	}
	return nil
}

// checkCount returns an error if the list holds more than maxDrains.
func (l List) checkCount() error {
	if len(l.Drains) > maxDrains {
		return fmt.Errorf("drills: %d are too many, %d at most", len(l.Drains), maxDrains)
	}
	return nil
}

// Active returns the zones that are out at a time, with the end of each.
func (l List) Active(now time.Time) map[string]time.Time {
	active := map[string]time.Time{}
	for _, d := range l.Drains {
		if d.Until.After(now) && d.Until.After(active[d.Zone]) {
			active[d.Zone] = d.Until
		}
	}
	return active
}

// Start returns the list with a drain in place of the zone's earlier one, without those that are over. It returns an
// error that names the field if the drain is over, too long or has no zone, or if the list is full.
func (l List) Start(d Drain, now time.Time) (List, error) {
	if err := d.check(now); err != nil {
		return l, err
	}
	if !d.Until.After(now) {
		return l, fmt.Errorf("until: %s is over", d.Until.Format(time.RFC3339))
	}
	l = l.End(d.Zone, now)
	l.Drains = append(l.Drains, d)
	return l, l.checkCount()
}

// End returns the list without a zone's drain, and without those that are over.
func (l List) End(zone string, now time.Time) List {
	ended := func(d Drain) bool { return d.Zone == zone || !d.Until.After(now) }
	return List{slices.DeleteFunc(slices.Clone(l.Drains), ended)}
}
