package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hitchspring/internal/config"
	"hitchspring/internal/zonedrain"
	"hitchspring/internal/zones"
)

func printZones(out io.Writer, s zones.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "hall\ttier\tstate\tfor\tnodes\tproven\tcapacity\tof\toffered/s\tanswered/s\tshare\tlate\tramp\tmost/s\tprice\tcaution\t")
	for _, h := range s.Zones {
		state, rate := h.State, "any"
		if h.GrayFailure {
			state += " (grey)"
		}
		if h.Rate >= 0 {
			rate = fmt.Sprintf("%.1f", h.Rate)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%.0f%%\t%.0f%%\t%s\t%.2f\t%d\t\n", h.Name, [...]string{"own", "near", "far"}[min(max(h.Tier, 0), 2)], state,
			h.Since.Round(100*time.Millisecond), h.Backends, h.Proven, h.Capacity, h.Nominal, h.Offered, h.Answered, 100*h.Share, 100*h.Late, 100*h.Ramp, rate, h.Price, h.Caution)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, h := range s.Zones {
		if h.Reason != "" {
			fmt.Fprintf(out, "%s is %s: %s\n", h.Name, h.State, h.Reason)
		}
	}
	_, err := fmt.Fprintf(out, "own hall %s: %.0f%% kept, %.0f%% spilled (planned at least %.0f%%): %s\nto be had of all halls: %.0f%%%s\n", s.Own, 100*(1-s.Spilled), 100*s.Spilled, 100*s.PlannedSpill, s.Reason,
		100*s.AvailableShare, map[bool]string{true: ", panic"}[s.Panic])
	return err
}

type zoneCmd struct {
	Drain  zoneDrainCmd  `cmd:"" help:"Take a hall out: no instance sends it new work until the time is up."`
	Return zoneReturnCmd `cmd:"" help:"End a hall's drill: it is let in again by its ramp."`
	List   zoneListCmd   `cmd:"" help:"The drills in force."`
}

type zoneDrainCmd struct {
	Hall string        `arg:"" help:"The hall's name, as in the list of nodes."`
	For  time.Duration `help:"For how long, 4h at most." default:"15m"`
	By   string        `help:"Who says so."`
	Why  string        `help:"What for."`
}

func (c *zoneDrainCmd) Run(e *commandEnv) error {
	return e.updateDrains(func(l zonedrain.List, now time.Time) (zonedrain.List, error) {
		if c.For <= 0 || c.For > zonedrain.MaxDuration {
			return l, fmt.Errorf("--for: %v is out of range, up to %v", c.For, zonedrain.MaxDuration)
		}
		return l.Start(zonedrain.Drain{Zone: c.Hall, Until: now.Add(c.For).Truncate(time.Millisecond), By: c.By, Reason: c.Why}, now)
	})
}

type zoneReturnCmd struct {
	Hall string `arg:"" help:"The hall's name."`
}

func (c *zoneReturnCmd) Run(e *commandEnv) error {
	return e.updateDrains(func(l zonedrain.List, now time.Time) (zonedrain.List, error) {
		if _, out := l.Active(now)[c.Hall]; !out {
			return l, fmt.Errorf("hall %q is in no drill", c.Hall)
		}
		return l.End(c.Hall, now), nil
	})
}

type zoneListCmd struct{}

func (zoneListCmd) Run(e *commandEnv) error {
	return e.updateDrains(nil)
}

// drills changes the file of drills, and prints what is in force then.
func (e *commandEnv) updateDrains(change func(zonedrain.List, time.Time) (zonedrain.List, error)) error {
	o, err := config.Load(e.options)
	if err != nil {
		return err
	}
	if o.Zones == nil || o.Zones.Drains == "" {
		return errors.New("hall: the options have no halls.drills: no file that the instances read")
	}
	now := time.Now()
	l, err := zonedrain.Load(o.Zones.Drains, now)
	if err != nil {
		return err
	}
	if change != nil {
		if l, err = change(l, now); err != nil {
			return fmt.Errorf("hall: %w", err)
		}
		if err := l.Save(o.Zones.Drains); err != nil {
			return err
		}
	}
	out := l.Active(now)
	for _, d := range l.Drains {
		if out[d.Zone].Equal(d.Until) {
			fmt.Fprintf(e.out, "%s is out until %s (%v) %s %s\n", d.Zone, d.Until.Format(time.RFC3339), time.Until(d.Until).Round(time.Second), d.By, d.Reason)
		}
	}
	if len(out) == 0 {
		fmt.Fprintln(e.out, "no hall is taken out")
	}
	return nil
}
