package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hitchspring/policy"
)

// bufferSize is the size of the input and output buffers in bytes.
const bufferSize = 1 << 20

// Message is one parsed line of a batch.
type Message struct {
	Name     string
	Instance int
	Seed     uint64           // set by BEGIN only
	Settings *policy.Settings // set by BEGIN only
	Event    policy.Event     // event for the instance's engine; nil: none
}

// Batch holds the messages between a SYNC line and the next YOUR_TURN line. Each batch
// gets one reply.
type Batch struct {
	Now      time.Duration // time of the SYNC line, for all messages
	Messages []Message
}

// Reader reads and parses batches.
type Reader struct {
	in        *bufio.Reader
	linesRead int
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferSize)}
}

// Read returns the next batch. It returns io.EOF if the input ends between two
// batches. Errors about malformed input name the line and, where there is one, the
// field.
func (r *Reader) Read() (*Batch, error) {
	var batch *Batch
	for {
		text, err := r.next()
		if errors.Is(err, io.EOF) && batch != nil {
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.linesRead)
		}
		if err != nil {
			return nil, err
		}
		name, lineFields := splitLine(text)
		p := &parser{fields: lineFields}
		switch {
		case text == "":
		case name == "SYNC" && batch == nil:
			batch = &Batch{Now: p.micros("wallUs")}
			p.require("wallUs")
		case batch == nil:
			p.err = fmt.Errorf("%q before a batch starts with SYNC", name)
		case name == "YOUR_TURN":
			return batch, nil
		case name == "SYNC":
			p.err = errors.New("a batch begins inside a batch")
		default:
			if m, known := r.parseMessage(name, p); known {
				batch.Messages = append(batch.Messages, m)
			}
		}
		if p.err != nil {
			return nil, fmt.Errorf("line %d: %w", r.linesRead, p.err)
		}
	}
}

// next returns the next line without its line break.
func (r *Reader) next() (string, error) {
	text, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text != "" {
		return "", fmt.Errorf("line %d: cut off without a line break", r.linesRead+1)
	}
	if err != nil {
		return "", err
	}
	r.linesRead++
	return strings.TrimRight(text, "\r\n"), nil
}
