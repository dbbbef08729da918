// Package wire turns the simulator's lines into a gateway's events, and its actions into lines.
// It parses and prints only: every decision is in package logic.
package simproto

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/settings"
	"hitchspring/policy"
)

// fields are the name=value parts of a line.
type fields map[string]string

// Message is one parsed line of a batch.
type Message struct {
	Name     string
	Instance int
	Seed     uint64
	Settings *policy.Settings // with Begin
	Event    policy.Event     // nil where there is nothing to tell
}

// Batch is what one exchange brings.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// next returns the next line without its end.
func (r *Reader) next() (string, error) {
	s, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && s != "" {
		return "", fmt.Errorf("line %d: cut off without an end of line", r.line+1)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Read returns the next batch; io.EOF says that input ended between batches.
func (r *Reader) Read() (*Batch, error) {
	var b *Batch
	for {
		s, err := r.next()
		if errors.Is(err, io.EOF) && b != nil {
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.line)
		}
		if err != nil {
			return nil, err
		}
		name, f := split(s)
		p := parser{f: f}
		switch {
		case s == "":
		case name == "SYNC" && b == nil:
			b = &Batch{Now: p.micros("wallUs")}
			p.need("wallUs")
		case b == nil:
			p.err = fmt.Errorf("%q before a batch has begun", name)
		case name == "YOUR_TURN":
			return b, nil
		case name == "SYNC":
			p.err = errors.New("a batch begins inside a batch")
		default:
			m, known := r.message(name, &p)
			if known {
				b.Messages = append(b.Messages, m)
			}
		}
		if p.err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, p.err)
		}
	}
}

// split cuts a line into its name and its fields; facts and text run to the end of the line.
func split(s string) (string, fields) {
	name, rest, _ := strings.Cut(s, "\t")
	f := make(fields, 8)
	for rest != "" {
		if v, ok := strings.CutPrefix(rest, "facts="); ok {
			f["facts"] = v
			break
		}
		var part string
		part, rest, _ = strings.Cut(rest, "\t")
		if k, v, ok := strings.Cut(part, "="); ok {
			f[k] = v
		}
	}
	return name, f
}

// message parses one event line; known is false for names this program does not have.
func (r *Reader) message(name string, p *parser) (m Message, known bool) {
	m.Name = name
	switch name {
	case "BEGIN":
		m.Seed = p.uint("nonce64", 64)
		p.need("facts")
		if p.err == nil {
			var err error
			if m.Settings, _, err = settings.Parse([]byte(p.f["facts"])); err != nil {
				p.fail("facts", err)
			}
		}
	case "DESTROY":
	case "MEMBERSHIP":
		m.Event = r.fleet(p)
	case "ARRIVAL":
		m.Event = arrival(p)
	case "STARTED":
		p.need("call", "try")
		m.Event = policy.StreamStarted{ID: p.id(), Attempt: p.int("try")}
	case "ATTEMPT_END":
		p.need("call", "try", "backend", "stateCode")
		m.Event = policy.AttemptEnded{
			ID: p.id(), Attempt: p.int("try"), Backend: policy.BackendID(p.f["backend"]),
			Outcome: outcome(p.f["stateCode"]), Took: p.micros("lagUs"), Finished: p.bool("over"),
			SettledUnits: p.float("settled"), Load: p.load("metrics"),
		}
	case "DROPPED":
		p.need("call")
		m.Event = policy.Disconnected{ID: p.id()}
	case "TICK_DUE":
		m.Event = policy.TimerFired{}
	case "PROBE_DONE":
		p.need("backend", "stateCode")
		m.Event = policy.ProbeEnded{
			Backend: policy.BackendID(p.f["backend"]), Outcome: outcome(p.f["stateCode"]),
			Took: p.micros("lagUs"), Load: p.load("metrics"),
		}
	case "INBOX":
		m.Event = policy.PeerMessage{From: p.int("from"), Body: p.bytes("msg")}
	case "COUNTER_REPLY":
		p.need("counter", "stateCode")
		m.Event = policy.CounterReply{Name: p.f["counter"], Outcome: outcome(p.f["stateCode"]), Total: p.float("total")}
	default:
		return m, false
	}
	p.need("i")
	m.Instance = p.int("i")
	if p.err != nil {
		p.err = fmt.Errorf("%s: %w", name, p.err)
	}
	return m, true
}

func arrival(p *parser) policy.Event {
	p.need("call", "giveUpAtUs")
	return policy.Arrival{Request: policy.Request{
		ID: p.id(), Class: p.f["qos"], Plan: p.f["terms"],
		Tenant: p.f["holder"], GiveUpAt: p.micros("giveUpAtUs"), Units: p.float("sizeUnits"),
		Spread: p.int("width"), First: p.int("setFrom"),
	}}
}

// fleet parses a list and the entry lines that follow it.
func (r *Reader) fleet(p *parser) policy.Event {
	p.need("form")
	form := p.f["form"]
	ev := policy.EndpointsChanged{Complete: form == "full" || form == "cached", Failed: form == "failed"}
	for n := p.int("members"); n > 0 && p.err == nil; n-- {
		s, err := r.next()
		if err != nil {
			p.err = errors.New("members: the list is cut off")
			break
		}
		name, f := split(s)
		if name != "M" {
			p.err = fmt.Errorf("members: %q where an entry is wanted", name)
			break
		}
		e := parser{f: f}
		e.need("backend")
		ev.Backends = append(ev.Backends, policy.Backend{
			ID: policy.BackendID(f["backend"]), Zone: f["az"],
			Kind: f["flavor"], Cell: e.int("block"), State: state(f["lifecycle"]), Size: e.float("scale"),
			Started: e.micros("sinceUs"),
		})
		p.err = e.err
	}
	return ev
}

func state(s string) policy.BackendState {
	switch s {
	case "on":
		return policy.Running
	case "off":
		return policy.Gone
	}
	return policy.Draining
}

func outcome(s string) policy.Outcome {
	switch s {
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
		return policy.Cancelled
	case "skipped":
		return policy.NotSent
	}
	return policy.Failed
}

// parser reads fields and keeps the first error.
type parser struct {
	f   fields
	err error
}

func (p *parser) fail(field string, err error) {
	if p.err == nil {
		p.err = fmt.Errorf("field %s: %w", field, err)
	}
}

func (p *parser) need(names ...string) {
	for _, n := range names {
		if _, ok := p.f[n]; !ok {
			p.fail(n, errors.New("missing"))
		}
	}
}

func (p *parser) uint(name string, bits int) uint64 {
	v, ok := p.f[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, bits)
	if err != nil {
		p.fail(name, err)
	}
	return n
}

func (p *parser) id() policy.RequestID { return policy.RequestID(p.uint("call", 32)) }

func (p *parser) int(name string) int { return int(p.uint(name, 31)) }

func (p *parser) micros(name string) time.Duration {
	return time.Duration(p.uint(name, 53)) * time.Microsecond
}

func (p *parser) bool(name string) bool { return p.f[name] == "1" }

func (p *parser) float(name string) float64 {
	v, ok := p.f[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err == nil && (n != n || n > 1e300 || n < -1e300) {
		err = errors.New("not a finite number")
	}
	if err != nil {
		p.fail(name, err)
	}
	return n
}

func (p *parser) load(name string) policy.Load {
	v := p.f[name]
	if v == "" || v == "-" {
		return nil
	}
	load := policy.Load{}
	for _, pair := range strings.Split(v, ",") {
		k, x, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(x, 64)
		if !ok || err != nil {
			p.fail(name, fmt.Errorf("pair %q", pair))
			return nil
		}
		load[k] = n
	}
	return load
}

func (p *parser) bytes(name string) []byte {
	v := p.f[name]
	if v == "" || v == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		p.fail(name, err)
	}
	return b
}
