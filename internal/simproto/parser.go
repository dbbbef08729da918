package simproto

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"hitchspring/policy"
)

// fields holds the values of a line's fields by name.
type fields map[string]string

// splitLine splits a line into its name and its fields. The value of the field facts
// extends to the end of the line and may contain tabs.
func splitLine(text string) (string, fields) {
	name, rest, _ := strings.Cut(text, "\t")
	f := make(fields, 8)
	for rest != "" {
		if facts, ok := strings.CutPrefix(rest, "facts="); ok {
			f["facts"] = facts
			break
		}
		var part string
		part, rest, _ = strings.Cut(rest, "\t")
		if key, value, ok := strings.Cut(part, "="); ok {
			f[key] = value
		}
	}
	return name, f
}

// parser parses the fields of one line and records the first error. A missing field
// is parsed as zero.
type parser struct {
	fields fields
	err    error
}

// fail records an error of a field, unless there is an earlier error.
func (p *parser) fail(field string, err error) {
	if p.err == nil {
		p.err = fmt.Errorf("field %s: %w", field, err)
	}
}

// require records an error if one of the fields is missing.
func (p *parser) require(names ...string) {
	for _, name := range names {
		if _, ok := p.fields[name]; !ok {
			p.fail(name, errors.New("missing"))
		}
	}
}

func (p *parser) uint(name string, bits int) uint64 {
	text, ok := p.fields[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		p.fail(name, err)
	}
	return n
}

func (p *parser) requestID() policy.RequestID { return policy.RequestID(p.uint("call", 32)) }

func (p *parser) int(name string) int { return int(p.uint(name, 31)) }

func (p *parser) micros(name string) time.Duration {
	return time.Duration(p.uint(name, 53)) * time.Microsecond
}

func (p *parser) bool(name string) bool { return p.fields[name] == "1" }

func (p *parser) float(name string) float64 {
	text, ok := p.fields[name]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err == nil && (n != n || n > 1e300 || n < -1e300) { // n != n if n is NaN
		err = errors.New("not a finite number")
	}
	if err != nil {
		p.fail(name, err)
	}
	return n
}

// load parses comma-separated name:number pairs; "-" means no load.
func (p *parser) load(name string) policy.Load {
	text := p.fields[name]
	if text == "" || text == "-" {
		return nil
	}
	load := policy.Load{}
	for _, pair := range strings.Split(text, ",") {
		key, number, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			p.fail(name, fmt.Errorf("pair %q", pair))
			return nil
		}
		load[key] = n
	}
	return load
}

// bytes decodes base64; "-" means no bytes.
func (p *parser) bytes(name string) []byte {
	text := p.fields[name]
	if text == "" || text == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		p.fail(name, err)
	}
	return b
}
