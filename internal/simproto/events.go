package simproto

import (
	"errors"
	"fmt"

	"hitchspring/internal/settings"
	"hitchspring/policy"
)

// parseMessage parses the fields of one line into a message; known is false if the
// line's name is not one of the protocol's.
func (r *Reader) parseMessage(name string, p *parser) (m Message, known bool) {
	m.Name = name
	switch name {
	case "BEGIN":
		m.Seed = p.uint("nonce64", 64)
		m.Settings = parseSettings(p)
	case "DESTROY":
	case "MEMBERSHIP":
		m.Event = r.parseEndpoints(p)
	case "ARRIVAL":
		m.Event = parseArrival(p)
	case "STARTED":
		p.require("call", "try")
		m.Event = policy.StreamStarted{ID: p.requestID(), Attempt: p.int("try")}
	case "ATTEMPT_END":
		m.Event = parseAttemptEnd(p)
	case "DROPPED":
		p.require("call")
		m.Event = policy.Disconnected{ID: p.requestID()}
	case "TICK_DUE":
		m.Event = policy.TimerFired{}
	case "PROBE_DONE":
		m.Event = parseProbeEnd(p)
	case "INBOX":
		m.Event = policy.PeerMessage{From: p.int("from"), Body: p.bytes("msg")}
	case "COUNTER_REPLY":
		m.Event = parseCounterReply(p)
	default:
		return m, false
	}
	p.require("i")
	m.Instance = p.int("i")
	if p.err != nil {
		p.err = fmt.Errorf("%s: %w", name, p.err)
	}
	return m, true
}

func parseSettings(p *parser) *policy.Settings {
	p.require("facts")
	if p.err != nil {
		return nil
	}
	parsed, _, err := settings.Parse([]byte(p.fields["facts"]))
	if err != nil {
		p.fail("facts", err)
	}
	return parsed
}

func parseArrival(p *parser) policy.Event {
	p.require("call", "giveUpAtUs")
	return policy.Arrival{Request: policy.Request{
		ID:       p.requestID(),
		Class:    p.fields["qos"],
		Plan:     p.fields["terms"],
		Tenant:   p.fields["holder"],
		GiveUpAt: p.micros("giveUpAtUs"),
		Units:    p.float("sizeUnits"),
		Spread:   p.int("width"),
		First:    p.int("setFrom"),
	}}
}

func parseAttemptEnd(p *parser) policy.Event {
	p.require("call", "try", "backend", "stateCode")
	return policy.AttemptEnded{
		ID:           p.requestID(),
		Attempt:      p.int("try"),
		Backend:      policy.BackendID(p.fields["backend"]),
		Outcome:      parseOutcome(p.fields["stateCode"]),
		Elapsed:      p.micros("lagUs"),
		Finished:     p.bool("over"),
		SettledUnits: p.float("settled"),
		Load:         p.load("metrics"),
	}
}

func parseProbeEnd(p *parser) policy.Event {
	p.require("backend", "stateCode")
	return policy.ProbeEnded{
		Backend: policy.BackendID(p.fields["backend"]),
		Outcome: parseOutcome(p.fields["stateCode"]),
		Elapsed: p.micros("lagUs"),
		Load:    p.load("metrics"),
	}
}

func parseCounterReply(p *parser) policy.Event {
	p.require("counter", "stateCode")
	return policy.CounterReply{
		Name:    p.fields["counter"],
		Outcome: parseOutcome(p.fields["stateCode"]),
		Total:   p.float("total"),
	}
}

// parseEndpoints parses the line of an endpoint list and reads the lines of its
// entries, which follow it.
func (r *Reader) parseEndpoints(p *parser) policy.Event {
	p.require("form")
	form := p.fields["form"]
	event := policy.EndpointsChanged{
		Complete: form == "full" || form == "cached",
		Failed:   form == "failed",
	}
	for n := p.int("members"); n > 0 && p.err == nil; n-- {
		text, err := r.next()
		if err != nil {
			p.err = errors.New("members: input ends inside the endpoint list")
			break
		}
		name, entryFields := splitLine(text)
		if name != "M" {
			p.err = fmt.Errorf("members: got line %q, want an entry (M)", name)
			break
		}
		entry := &parser{fields: entryFields}
		event.Backends = append(event.Backends, parseBackend(entry))
		p.err = entry.err
	}
	return event
}

func parseBackend(p *parser) policy.Backend {
	p.require("backend")
	return policy.Backend{
		ID:      policy.BackendID(p.fields["backend"]),
		Zone:    p.fields["az"],
		Kind:    p.fields["flavor"],
		Cell:    p.int("block"),
		State:   parseState(p.fields["lifecycle"]),
		Size:    p.float("scale"),
		Started: p.micros("sinceUs"),
	}
}

// parseState returns the state of a name. An unknown name counts as draining.
func parseState(name string) policy.BackendState {
	switch name {
	case "on":
		return policy.Running
	case "off":
		return policy.Removed
	default:
		return policy.Draining
	}
}

// parseOutcome returns the outcome of a name. An unknown name counts as failed, that
// is, the attempt may have run.
func parseOutcome(name string) policy.Outcome {
	switch name {
	case "done":
		return policy.Succeeded
	case "busy":
		return policy.Rejected
	case "etimedout":
		return policy.TimedOut
	case "econnrefused":
		return policy.NoConnect
	case "econnreset":
		return policy.Reset
	case "ecanceled":
		return policy.Canceled
	case "skipped":
		return policy.NotSent
	default:
		return policy.Failed
	}
}
