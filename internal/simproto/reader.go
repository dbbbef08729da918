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

// bufferSize is the size of the buffers for reading and writing lines, in bytes.
const bufferSize = 1 << 20

// Message is one parsed line of a batch.
type Message struct {
	Name     string
	Instance int
	Seed     uint64           // with BEGIN
	Settings *policy.Settings // with BEGIN
	Event    policy.Event     // nil: nothing for the engine
}

// Batch is what one exchange brings.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int // lines read
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferSize)}
}

// Read returns the next batch. It returns io.EOF if the input ends between
// batches; other errors name the line and the field.
func (r *Reader) Read() (*Batch, error) {
	var batch *Batch
	for {
		text, err := r.next()
		if errors.Is(err, io.EOF) && batch != nil {
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.line)
		}
		if err != nil {
			return nil, err
		}
		name, f := split(text)
		p := &parser{fields: f}
		switch {
		case text == "":
		case name == "SYNC" && batch == nil:
			batch = &Batch{Now: p.micros("wallUs")}
			p.need("wallUs")
		case batch == nil:
			p.err = fmt.Errorf("%q before a batch has begun", name)
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
			return nil, fmt.Errorf("line %d: %w", r.line, p.err)
		}
	}
}

// next returns the next line without its end.
func (r *Reader) next() (string, error) {
	text, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text != "" {
		return "", fmt.Errorf("line %d: cut off without an end of line", r.line+1)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}
