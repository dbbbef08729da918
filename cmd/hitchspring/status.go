package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"hitchspring/internal/config"
	"hitchspring/internal/core"
	"hitchspring/internal/overrun"
	"hitchspring/internal/peers"
)

type statusCmd struct {
	Halls   statusZonesCmd   `cmd:"" help:"Each hall's capacity, what is offered, kept and spilled, and why."`
	Peers   statusPeersCmd   `cmd:"" help:"The other instances: what is believed of each, since when, and what came from them."`
	Work    statusWorkCmd    `cmd:"" help:"Work in hand: covered, uncovered, kept for others, taken over."`
	Budgets statusQuotasCmd `cmd:"" help:"The quotas of the channels with the most demand: mode, what is held, what may be passed on if nothing more is heard."`
	Rights  statusEscrowCmd  `cmd:"" help:"Parts of budgets that have moved between instances: held, lent, borrowed, and what others spend unheard."`
	Nodes   statusBackendsCmd   `cmd:"" help:"The nodes of which something is known or told: what is believed, from whom, how old, and why."`
}

// asking is the flags of whatever asks a running ingress.
type asking struct {
	At   string `help:"host:port of the metrics listener; empty: metrics.listen of the options." placeholder:"ADDR"`
	JSON bool   `help:"As JSON."`
}

// askTimeout bounds a whole call, answer and all.
const statusTimeout = 3 * time.Second

// maxStatusBytes bounds an answer: 7,700 nodes on which 30 instances each have spoken are some 40 MB.
const maxStatusBytes = 64 << 20

// status asks a running ingress for what is at a path, and prints it.
func queryStatus[T any](c asking, e *commandEnv, what string, printTable func(io.Writer, T) error) error {
	at := c.At
	if at == "" {
		o, err := config.Load(e.options)
		if err != nil {
			return err
		}
		if o.Metrics == nil {
			return fmt.Errorf("status %s: --at names no address, and the options have no metrics.listen", what)
		}
		at = o.Metrics.Listen
	}
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/"+what, nil)
	if err != nil {
		return fmt.Errorf("status %s: --at %q: %w", what, at, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("status %s: %w", what, err)
	}
	defer resp.Body.Close()
	text, err := readAnswer(resp, maxStatusBytes)
	if err != nil {
		return fmt.Errorf("status %s: %s: %w", what, at, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %s says %s: %s", what, at, resp.Status, strings.TrimSpace(string(text)))
	}
	if c.JSON {
		_, err = e.out.Write(text)
		return err
	}
	var s T
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("status %s: %s answers something else: %w", what, at, err)
	}
	return printTable(e.out, s)
}

// readAnswer reads an answer of up to so many bytes whole. One that is larger is an error, and is not read on.
func readAnswer(resp *http.Response, most int64) ([]byte, error) {
	tooLarge := fmt.Errorf("the answer is larger than %d bytes, and nothing of it is shown", most)
	if resp.ContentLength > most {
		return nil, tooLarge
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		return nil, tooLarge
	}
	return text, nil
}

type statusZonesCmd struct{ asking }

// Run asks a running ingress and prints a table.
func (c *statusZonesCmd) Run(e *commandEnv) error { return queryStatus(c.asking, e, "halls", printZones) }

type statusPeersCmd struct{ asking }

// Run asks a running ingress and prints a table.
func (c *statusPeersCmd) Run(e *commandEnv) error { return queryStatus(c.asking, e, "peers", printPeers) }

type statusBackendsCmd struct{ asking }

// Run asks a running ingress and prints a table.
func (c *statusBackendsCmd) Run(e *commandEnv) error { return queryStatus(c.asking, e, "nodes", printBackends) }

type statusWorkCmd struct{ asking }

// Run asks a running ingress and prints a table.
func (c *statusWorkCmd) Run(e *commandEnv) error { return queryStatus(c.asking, e, "work", printWork) }

type statusQuotasCmd struct {
	asking
	For time.Duration `help:"What would be passed on within so long, up to 10m." default:"1m"`
}

// Run asks a running ingress and prints a table.
func (c *statusQuotasCmd) Run(e *commandEnv) error {
	return queryStatus(c.asking, e, "budgets?for="+c.For.String(), printQuotas)
}

type statusEscrowCmd struct{ asking }

// Run asks a running ingress and prints a table.
func (c *statusEscrowCmd) Run(e *commandEnv) error { return queryStatus(c.asking, e, "rights", printEscrow) }

func printEscrow(out io.Writer, s core.EscrowStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "channel\tat home\theld\tlent\tborrowed\tspent unheard by others\tlent to\tborrowed of")
	for _, b := range s.Accounts {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\n", b.Key, b.Home, b.Share, b.Transferred, b.Received, b.Unreported, strings.Join(b.To, " "), strings.Join(b.From, " "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "lent %d times, borrowed %d, denied %d; messages that no instance of this fleet can mean %d, from members with another's number %d; "+
		"budgets without room %d\n", s.Transferred, s.Received, s.Denied, s.Invalid, s.Conflicts, s.Full)
	return err
}

func printQuotas(out io.Writer, all []overrun.Bound) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "channel\tplan\tmode\tways\tdemand/s\tothers/s\ttotal heard\tpart\theld\tuntold\troom\tmay pass on\tuncounted\tmay overdraw\twithin")
	for _, s := range all {
		heard := "never"
		if s.Age >= 0 {
			heard = s.Age.Round(time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n", s.Tenant, s.Plan, s.Mode, s.Instances, s.Demand, s.Others, heard, s.Share, s.ReservedUnits, s.UnreportedUnits, s.AvailableUnits, s.MaxSpend,
			s.MaxUnreported, s.Overrun, s.Span)
	}
	if err := w.Flush(); err != nil || len(all) < core.MaxBoundsShown {
		return err
	}
	_, err := fmt.Fprintf(out, "the %d channels with the most demand are shown; there may be more\n", len(all))
	return err
}

func printWork(out io.Writer, s core.WorkStatus) error {
	k := s.Replica
	_, err := fmt.Fprintf(out, "in hand %d; kept for all %d in %d bytes\nown tries: %d covered, %d without a word of some keeper, %d uncovered, %d without any keeper\n"+
		"           %d joined another try, %d went on with one, %d had its answer, %d may not go on\ntaken over from others: %d\n"+
		"as keeper: %d granted, %d asked again for an old clock, %d joined, %d bound, %d refused after a takeover, %d without room, %d taken over, %d failed, %d whose end was never told\n"+
		"messages that could not be read: %d\n", s.Pending, s.Records, s.Bytes, s.Covered, s.Partly, s.Uncovered, s.NoReplica, s.Joined, s.Bound, s.Answered, s.Halted, s.TakenFrom,
		k.Granted, k.Again, k.Joined, k.Bound, k.Refused, k.Full, k.Taken, k.Failed, k.Late, s.Unreadable)
	return err
}

func printPeers(out io.Writer, s peers.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tstate\tfor\theard\thall\taddress\tlife\tinc\tby")
	for _, m := range s.Members {
		heard := "never"
		if m.HeardMS >= 0 {
			heard = (time.Duration(m.HeardMS) * time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.State, time.Duration(m.SinceMS)*time.Millisecond, heard, m.Zone, m.Addr, m.Incarnation, m.Refutation, m.SuspectedBy)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "this instance: %s at %s, hall %s, life %d, incarnation %d; %d others are there\n%d facts in %d bytes; %d messages in, %d out (%d and %d bytes)\n"+
		"left aside: %d that no key opens, %d malformed, %d of a later version, %d too late, %d of an ended life, %d stray\n"+
		"no room for: %d facts, %d updates on members; not sent: %d without a place in the queue, %d too large, %d by the system\n", s.Name, s.Addr, s.Zone, s.Incarnation, s.Refutation, s.Alive, s.Facts,
		s.Bytes, s.Counts.In, s.Counts.Out, s.Counts.BytesIn, s.Counts.BytesOut, s.Counts.WrongKey, s.Counts.Malformed+s.Gossip.Malformed, s.Counts.Newer, s.Gossip.Late,
		s.Swim.EndedIncarnation+s.Gossip.EndedIncarnation, s.Swim.Stray+s.Counts.Unsolicited,
		s.Gossip.Full, s.Swim.Full, s.Unqueued, s.Counts.Oversized, s.Unsent)
	if err == nil && s.LeftReason != "" {
		err = errors.New("takes no part any more: " + s.LeftReason)
	}
	return err
}

func printBackends(out io.Writer, s core.BackendsStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\town good\town bad\town word\tby others' word\tcause\tage\twhy")
	for _, n := range s.Backends {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%s\t%.1f times\t%s\t%v\t%s\n", n.Backend, n.Good, n.Bad, n.OwnCause, n.PeerSlowness, n.Cause, time.Duration(n.AgeMS)*time.Millisecond, n.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range s.Backends {
		for _, x := range n.Reports {
			if _, err := fmt.Fprintf(out, "%s: %s (hall %s) says %s, bad %.1f, good %.1f, %v ago\n", n.Backend, x.Owner, x.Zone, x.Cause, x.Bad, x.Good, time.Duration(x.AgeMS)*time.Millisecond); err != nil {
				return err
			}
		}
	}
	if s.EjectionsLifted {
		fmt.Fprintln(out, "nobody's word counts now: too many nodes are blamed at once")
	}
	return nil
}
