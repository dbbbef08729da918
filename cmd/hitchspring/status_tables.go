package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/overrun"
	"hitchspring/internal/peers"
	"hitchspring/internal/zones"
)

const (
	columnPadding   = 2                      // spaces between columns
	zoneAgeRounding = 100 * time.Millisecond // rounding of the time since a zone entered its state
)

// tierNames are the printed names of the locality priorities, by priority.
var tierNames = [...]string{"own", "near", "far"}

// newTable returns a writer that aligns tab-separated columns; flags are those of tabwriter.
func newTable(out io.Writer, flags uint) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', flags)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// printZones prints a row for each zone, the reasons for their states, and the share of the own zone's load that spills
// to other zones.
func printZones(out io.Writer, s zones.Status) error {
	w := newTable(out, tabwriter.AlignRight)
	fmt.Fprintln(w, "hall\ttier\tstate\tfor\tnodes\tproven\tcapacity\tof\toffered/s\tanswered/s\t"+
		"share\tlate\tramp\tmost/s\tprice\tcaution\t")
	for _, z := range s.Zones {
		state := z.State
		if z.GrayFailure {
			state += " (grey)"
		}
		rate := "any"
		if z.RateLimit >= 0 {
			rate = fmt.Sprintf("%.1f", z.RateLimit)
		}
		tier := tierNames[min(max(z.Priority, 0), len(tierNames)-1)]
		since := z.Since.Round(zoneAgeRounding)
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t", z.Name, tier, state, since, z.Backends, z.Proven)
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t", z.Capacity, z.NominalCapacity, z.Offered, z.Answered)
		fmt.Fprintf(w, "%.0f%%\t%.0f%%\t%.0f%%\t", 100*z.AttemptShare, 100*z.LateShare, 100*z.RampShare)
		fmt.Fprintf(w, "%s\t%.2f\t%d\t\n", rate, z.Price, z.Caution)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, z := range s.Zones {
		if z.Reason != "" {
			fmt.Fprintf(out, "%s is %s: %s\n", z.Name, z.State, z.Reason)
		}
	}
	panicMode := ""
	if s.Panic {
		panicMode = ", panic"
	}
	_, err := fmt.Fprintf(out, "own hall %s: %.0f%% kept, %.0f%% spilled (planned at least %.0f%%): %s\n"+
		"to be had of all halls: %.0f%%%s\n",
		s.Own, 100*(1-s.Spilled), 100*s.Spilled, 100*s.PlannedSpill, s.Reason,
		100*s.AvailableShare, panicMode)
	return err
}

// printEscrow prints a row for each account with transferred allocations, and the counts of transfers.
func printEscrow(out io.Writer, s core.EscrowStatus) error {
	w := newTable(out, 0)
	fmt.Fprintln(w, "channel\tat home\theld\tlent\tborrowed\tspent unheard by others\tlent to\tborrowed of")
	for _, a := range s.Accounts {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t", a.Key, a.Home, a.Share, a.Transferred)
		fmt.Fprintf(w, "%.3f\t%.3f\t", a.Received, a.Unreported)
		fmt.Fprintf(w, "%s\t%s\n", strings.Join(a.To, " "), strings.Join(a.From, " "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "lent %d times, borrowed %d, denied %d; "+
		"messages that no instance of this fleet can mean %d, from members with another's number %d; "+
		"budgets without room %d\n",
		s.Transferred, s.Received, s.Denied, s.Invalid, s.Conflicts, s.Full)
	return err
}

// printQuotas prints a row for each tenant's quota, and a note if the response has the maximum number of them, so that
// there may be more.
func printQuotas(out io.Writer, bounds []overrun.Bound) error {
	w := newTable(out, 0)
	fmt.Fprintln(w, "channel\tplan\tmode\tways\tdemand/s\tothers/s\ttotal heard\tpart\theld\tuntold\troom\t"+
		"may pass on\tuncounted\tmay overdraw\twithin")
	for _, b := range bounds {
		heard := "never"
		if b.Age >= 0 {
			heard = b.Age.Round(time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t", b.Tenant, b.Plan, b.Mode, b.Instances)
		fmt.Fprintf(w, "%.1f\t%.1f\t%s\t%.2f\t", b.Demand, b.Others, heard, b.Share)
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t", b.ReservedUnits, b.UnreportedUnits, b.AvailableUnits)
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%v\n", b.MaxSpend, b.MaxUnreported, b.Overrun, b.Span)
	}
	if err := w.Flush(); err != nil || len(bounds) < core.MaxBoundsShown {
		return err
	}
	_, err := fmt.Fprintf(out, "the %d channels with the most demand are shown; there may be more\n", len(bounds))
	return err
}

// printWork prints counts of pending work: of the instance itself, and of other instances for which it is a replica.
func printWork(out io.Writer, s core.WorkStatus) error {
	fmt.Fprintf(out, "in hand %d; kept for all %d in %d bytes\n", s.Pending, s.Records, s.Bytes)
	fmt.Fprintf(out, "own tries: %d covered, %d without a word of some keeper, %d uncovered, %d without any keeper\n",
		s.Covered, s.PartlyCovered, s.Uncovered, s.NoReplica)
	fmt.Fprintf(out, "           %d joined another try, %d went on with one, %d had its answer, %d may not go on\n",
		s.Joined, s.Adopted, s.Answered, s.Aborted)
	fmt.Fprintf(out, "taken over from others: %d\n", s.TookOver)
	r := s.Replica
	fmt.Fprintf(out, "as keeper: %d granted, %d asked again for an old clock, %d joined, %d bound, "+
		"%d refused after a takeover, %d without room, %d taken over, %d failed, %d whose end was never told, "+
		"%d turned away as believed dead\n",
		r.Granted, r.StaleClocks, r.Joined, r.Adopted, r.RefusedOwners, r.Full, r.TookOver, r.Failed, r.Unreported,
		r.RefusedEndedSenders)
	_, err := fmt.Fprintf(out, "messages that could not be read: %d\n", s.Unreadable)
	return err
}

// printPeers prints a row for each member and the message counts. It returns an error, after printing, if the instance
// has left the peer group.
func printPeers(out io.Writer, s peers.Status) error {
	w := newTable(out, 0)
	fmt.Fprintln(w, "member\tstate\tfor\theard\thall\taddress\tlife\tinc\tby")
	for _, m := range s.Members {
		heard := "never"
		if m.LastMessageMS >= 0 {
			heard = milliseconds(m.LastMessageMS).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t", m.Name, m.State, milliseconds(m.SinceMS), heard)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", m.Zone, m.Addr, m.Incarnation, m.Refutation, m.SuspectedBy)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "this instance: %s at %s, hall %s, life %d, incarnation %d; %d others are there\n",
		s.Name, s.Addr, s.Zone, s.Incarnation, s.Refutation, s.Alive)
	fmt.Fprintf(out, "%d facts in %d bytes; %d messages in, %d out (%d and %d bytes)\n",
		s.Facts, s.Bytes, s.Counts.In, s.Counts.Out, s.Counts.BytesIn, s.Counts.BytesOut)
	fmt.Fprintf(out, "left aside: %d that no key opens, %d malformed, %d of a later version, %d too late, "+
		"%d of an ended life, %d stray\n",
		s.Counts.WrongKey, s.Counts.Malformed+s.Gossip.Malformed, s.Counts.Newer, s.Gossip.Late,
		s.Swim.EndedIncarnation+s.Gossip.EndedIncarnation, s.Swim.Rejected+s.Counts.Unsolicited)
	_, err := fmt.Fprintf(out, "no room for: %d facts, %d updates on members; "+
		"not sent: %d without a place in the queue, %d too large, %d by the system\n",
		s.Gossip.Full, s.Swim.Full, s.DroppedMessages, s.Counts.Oversized, s.FailedWrites)
	if err == nil && s.LeftReason != "" {
		err = errors.New("takes no part any more: " + s.LeftReason)
	}
	return err
}

// printBackends prints a row for each backend, and a line for each report of another instance on a backend.
func printBackends(out io.Writer, s core.BackendsStatus) error {
	w := newTable(out, 0)
	fmt.Fprintln(w, "node\town good\town bad\town word\tby others' word\tcause\tage\twhy")
	for _, b := range s.Backends {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%s\t", b.Backend, b.SuccessEvidence, b.FailureEvidence, b.OwnCause)
		fmt.Fprintf(w, "%.1f times\t%s\t%v\t%s\n", b.PeerSlowness, b.Cause, milliseconds(b.AgeMS), b.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, b := range s.Backends {
		for _, r := range b.Reports {
			_, err := fmt.Fprintf(out, "%s: %s (hall %s) says %s, bad %.1f, good %.1f, %v ago\n",
				b.Backend, r.Owner, r.Zone, r.Cause, r.FailureEvidence, r.SuccessEvidence, milliseconds(r.AgeMS))
			if err != nil {
				return err
			}
		}
	}
	if s.EjectionsLifted {
		fmt.Fprintln(out, "nobody's word counts now: too many nodes are blamed at once")
	}
	return nil
}
