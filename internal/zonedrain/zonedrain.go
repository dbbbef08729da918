// Package zonedrain manages the file of zone drains: zones that operators have taken out of service, each until a given
// time. All instances share the path of the file, as they share their options, and operators change the file by a
// command of the program. Parse, Load and Save read and write it, and Watch reports which zones are drained at present.
// A file that can't be read changes nothing. The package does not depend on backends or the policy module.
package zonedrain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxDuration is the maximum time until the end of a drain. Each drain ends by itself, so that operators can't
	// forget to end it.
	MaxDuration = 4 * time.Hour
	// endTolerance is added to MaxDuration in checks, since the clocks of machines differ.
	endTolerance = time.Minute

	maxDrains     = 64
	maxNameLength = 100 // bytes of a zone's name
)

// Drain takes one zone out of service.
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

// check returns an error that names the first invalid field and its value.
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

// Active returns the zones that are drained at now, each with the end of its drain.
func (l List) Active(now time.Time) map[string]time.Time {
	active := map[string]time.Time{}
	for _, d := range l.Drains {
		if d.Until.After(now) && d.Until.After(active[d.Zone]) {
			active[d.Zone] = d.Until
		}
	}
	return active
}

// Start returns the list with d in place of the zone's earlier drain, and without drains that have ended. It returns an
// error that names the field if d has already ended, is too long or has no zone, or if the list is full.
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

// End returns the list without a zone's drain, and without drains that have ended.
func (l List) End(zone string, now time.Time) List {
	ended := func(d Drain) bool { return d.Zone == zone || !d.Until.After(now) }
	return List{slices.DeleteFunc(slices.Clone(l.Drains), ended)}
}
