package main

import (
	"errors"
	"fmt"
	"time"

	"hitchspring/internal/config"
	"hitchspring/internal/zonedrain"
)

// zoneCmd edits the zone drain file, which running instances read. Its path is in the options.
type zoneCmd struct {
	Drain  zoneDrainCmd  `cmd:"" help:"Take a hall out: no instance sends it new work until the time is up."`
	Return zoneReturnCmd `cmd:"" help:"End a hall's drill: it is let in again by its ramp."`
	List   zoneListCmd   `cmd:"" help:"The drills in force."`
}

// zoneDrainCmd starts a zone drain, which ends by itself after a given time.
type zoneDrainCmd struct {
	Zone   string        `arg:"" name:"hall" help:"The hall's name, as in the list of nodes."`
	For    time.Duration `help:"For how long, 4h at most." default:"15m"`
	By     string        `help:"Who says so."`
	Reason string        `name:"why" help:"What for."`
}

// Run starts a drain of the zone. It replaces the zone's current drain, if any.
func (c *zoneDrainCmd) Run(e *commandEnv) error {
	return e.updateDrains(func(drains zonedrain.List, now time.Time) (zonedrain.List, error) {
		if c.For <= 0 || c.For > zonedrain.MaxDuration {
			return drains, fmt.Errorf("--for: %v is out of range, up to %v", c.For, zonedrain.MaxDuration)
		}
		drain := zonedrain.Drain{
			Zone:   c.Zone,
			Until:  now.Add(c.For).Truncate(time.Millisecond),
			By:     c.By,
			Reason: c.Reason,
		}
		return drains.Start(drain, now)
	})
}

// zoneReturnCmd ends a zone drain early.
type zoneReturnCmd struct {
	Zone string `arg:"" name:"hall" help:"The hall's name."`
}

// Run ends the drain of the zone. It returns an error if the zone is not drained.
func (c *zoneReturnCmd) Run(e *commandEnv) error {
	return e.updateDrains(func(drains zonedrain.List, now time.Time) (zonedrain.List, error) {
		if _, drained := drains.Active(now)[c.Zone]; !drained {
			return drains, fmt.Errorf("hall %q is in no drill", c.Zone)
		}
		return drains.End(c.Zone, now), nil
	})
}

// zoneListCmd lists the zone drains.
type zoneListCmd struct{}

// Run prints the active drains.
func (zoneListCmd) Run(e *commandEnv) error { return e.updateDrains(nil) }

// updateDrains applies change to the zone drain file and prints the drains that are active afterwards. If change is
// nil, it leaves the file as it is.
func (e *commandEnv) updateDrains(change func(zonedrain.List, time.Time) (zonedrain.List, error)) error {
	options, err := config.Load(e.optionsPath)
	if err != nil {
		return err
	}
	if options.Zones == nil || options.Zones.DrainFile == "" {
		return errors.New("hall: the options have no halls.drills: no file that the instances read")
	}
	path, now := options.Zones.DrainFile, time.Now()
	drains, err := zonedrain.Load(path, now)
	if err != nil {
		return err
	}
	if change != nil {
		if drains, err = change(drains, now); err != nil {
			return fmt.Errorf("hall: %w", err)
		}
		if err := drains.Save(path); err != nil {
			return err
		}
	}
	e.printDrains(drains, now)
	return nil
}

// printDrains prints the drains that are active at now.
func (e *commandEnv) printDrains(drains zonedrain.List, now time.Time) {
	active := drains.Active(now)
	for _, d := range drains.Drains {
		if active[d.Zone].Equal(d.Until) {
			left := time.Until(d.Until).Round(time.Second)
			end := d.Until.Format(time.RFC3339)
			fmt.Fprintf(e.out, "%s is out until %s (%v) %s %s\n", d.Zone, end, left, d.By, d.Reason)
		}
	}
	if len(active) == 0 {
		fmt.Fprintln(e.out, "no hall is taken out")
	}
}
