package main

import (
	"context"
	"io"
	"strings"

	"hitchspring/internal/lab/experiment"
	"hitchspring/internal/lab/scenario"
)

// zonesCmd measures how instances respond to the loss and the return of a zone.
type zonesCmd struct {
	Scenarios string `name:"days" help:"Days, with commas; empty: all that lose a hall, and a calm one." default:""`
	Seeds     int    `help:"How many, from --seed on." default:"3"`
	Seed      uint64 `help:"The first." default:"1"`
	OnlyOn    bool   `name:"on" help:"Only with [halls] on; else each run is also played with it off."`
	Jobs      int    `help:"Runs at once: a run takes about a third of a core." default:"4"`
	Out       string `help:"Folder for results.jsonl and index.html." type:"path" default:"found/halls"`
}

// run runs an experiment that compares instances with zone-aware routing to instances without it while a zone is lost.
func (c *zonesCmd) run(ctx context.Context, out io.Writer) (int, error) {
	spec := &experiment.Spec{
		Name:     "halls",
		About:    "Losing and regaining a hall, with [halls] off and on.",
		Seeds:    c.Seeds,
		First:    c.Seed,
		Variants: []experiment.Variant{{Name: "off"}, {Name: "on", Zones: true}},
	}
	if c.OnlyOn {
		spec.Variants = spec.Variants[1:]
	}
	for _, name := range scenario.Names() {
		if strings.HasPrefix(name, "hall-") || name == "calm" {
			spec.Scenarios = append(spec.Scenarios, name)
		}
	}
	if c.Scenarios != "" {
		spec.Scenarios = strings.Split(c.Scenarios, ",")
	}
	if err := spec.Check(); err != nil {
		return failed, err
	}
	lines, code, err := runExperiment(ctx, spec, c.Out, c.Jobs, out)
	if err != nil {
		return code, err
	}
	_, err = io.WriteString(out, spec.ZoneText(lines))
	return code, err
}

// Help returns the text that kong prints below the one-line help of the command.
func (c *zonesCmd) Help() string {
	return "Figures are from the clients' and the nodes' records alone: " +
		"what was earned of what a worth-ordered fill of the true capacity would earn " +
		"while the hall was lost and from 5 s after its return, how long until nearly that was reached again, " +
		"how near cold nodes came to their fall, the share of sends that cross halls, " +
		"and how far the spill swings from second to second."
}
