package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"hitchspring/internal/lab/experiment"
	"hitchspring/internal/lab/scenario"
)

type hallsCmd struct {
	Days  string `help:"Days, with commas; empty: all that lose a hall, and a calm one." default:""`
	Seeds int    `help:"How many, from --seed on." default:"3"`
	Seed  uint64 `help:"The first." default:"1"`
	On    bool   `help:"Only with [halls] on; else each run is also played with it off."`
	Jobs  int    `help:"Runs at once: a run takes about a third of a core." default:"4"`
	Out   string `help:"Folder for results.jsonl and index.html." type:"path" default:"found/halls"`
}

// run is an experiment: what an ingress that knows of halls makes of losing one, against one that doesn't.
func (c *hallsCmd) run(ctx context.Context, out io.Writer) (int, error) {
	s := &experiment.Spec{
		Name: "halls", About: "Losing and regaining a hall, with [halls] off and on.", Seeds: c.Seeds, First: c.Seed,
		Variants: []experiment.Variant{{Name: "off"}, {Name: "on", Zones: true}},
	}
	if c.On {
		s.Variants = s.Variants[1:]
	}
	for _, name := range scenario.Names() {
		if strings.HasPrefix(name, "hall-") || name == "calm" {
			s.Scenarios = append(s.Scenarios, name)
		}
	}
	if c.Days != "" {
		s.Scenarios = strings.Split(c.Days, ",")
	}
	if err := s.Check(); err != nil {
		return failed, err
	}
	lines, code, err := played(ctx, s, c.Out, c.Jobs, out)
	if err != nil {
		return code, err
	}
	_, err = io.WriteString(out, s.ZoneText(lines))
	return code, err
}

func (c *hallsCmd) Help() string {
	return fmt.Sprint("Figures are from the clients' and the nodes' records alone: what was earned of what a worth-ordered fill of the true capacity would earn ",
		"while the hall was lost and from 5 s after its return, how long until nearly that was reached again, how near cold nodes came to their fall, ",
		"the share of sends that cross halls, and how far the spill swings from second to second.")
}
