package redis

import (
	"strconv"
	"strings"
)

// errUnbalancedQuotes is the error for an unterminated quoted string, or one not followed by a blank.
const errUnbalancedQuotes = protoError("unbalanced quotes in request")

// splitInline splits an inline command into arguments like a shell, with 'single' and "double" quotes and backslash
// escapes.
func splitInline(line string) ([]string, error) {
	p := inlineParser{line: line}
	var args []string
	for {
		for p.atBlank() {
			p.pos++
		}
		if p.atEnd() {
			return args, nil
		}
		arg, err := p.argument()
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
}

// inlineParser parses the arguments of an inline command.
type inlineParser struct {
	line string
	pos  int // index of the next byte
}

func (p *inlineParser) atEnd() bool { return p.pos >= len(p.line) }

func (p *inlineParser) atBlank() bool {
	return !p.atEnd() && (p.line[p.pos] == ' ' || p.line[p.pos] == '\t')
}

// argument reads one argument, up to a blank or the end of the line.
func (p *inlineParser) argument() (string, error) {
	var arg []byte
	for !p.atEnd() && !p.atBlank() {
		c := p.line[p.pos]
		p.pos++
		if c != '"' && c != '\'' {
			arg = append(arg, c)
			continue
		}
		var closed bool
		arg, closed = p.quoted(arg, c)
		if !closed || !p.atEnd() && !p.atBlank() {
			return "", errUnbalancedQuotes
		}
	}
	return string(arg), nil
}

// quoted appends the text up to the closing quote to arg. It reports false if there is no closing quote.
func (p *inlineParser) quoted(arg []byte, quote byte) ([]byte, bool) {
	for !p.atEnd() {
		c := p.line[p.pos]
		p.pos++
		switch {
		case c == quote:
			return arg, true
		case c != '\\' || p.atEnd():
			arg = append(arg, c)
		default:
			arg = p.escaped(arg, quote)
		}
	}
	return nil, false
}

// escaped decodes the escape sequence after a backslash and appends the result to arg.
func (p *inlineParser) escaped(arg []byte, quote byte) []byte {
	c := p.line[p.pos]
	p.pos++
	switch {
	case quote == '\'':
		if c != '\'' {
			arg = append(arg, '\\')
		}
		return append(arg, c)
	case c == 'x' && p.pos+1 < len(p.line):
		if n, err := strconv.ParseUint(p.line[p.pos:p.pos+2], 16, 8); err == nil {
			p.pos += 2
			return append(arg, byte(n))
		}
		return append(arg, c)
	}
	if i := strings.IndexByte("nrtba", c); i >= 0 {
		return append(arg, "\n\r\t\b\a"[i])
	}
	return append(arg, c)
}
