package link

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds. A share is a fraction of the datagrams, or of the chunks of a stream.
const (
	Cut      Kind = "cut"      // nothing passes
	Flap     Kind = "flap"     // cut for a time, open for as long, in turn
	Delay    Kind = "delay"    // all is delayed by a time
	Jitter   Kind = "jitter"   // each is delayed by a random part of a time; datagrams change their order
	Drop     Kind = "drop"     // a share is lost; a stream delays it instead, as a retransmission does
	Repeat   Kind = "repeat"   // a share of datagrams is duplicated
	Swap     Kind = "swap"     // a share of datagrams changes places with the next one
	Corrupt  Kind = "corrupt"  // one byte of a share is changed
	Throttle Kind = "throttle" // so many bytes a second pass, of a stream
	Reset    Kind = "reset"    // all connections are reset, once
)

// parameters is how many arguments each kind has in a fault's text. The last one is the duration.
var parameters = map[Kind]int{
	Cut:      1,
	Flap:     2,
	Delay:    2,
	Jitter:   2,
	Drop:     2,
	Repeat:   2,
	Swap:     2,
	Corrupt:  2,
	Throttle: 2,
	Reset:    0,
}

// Fault is one fault of a link.
type Fault struct {
	Kind  Kind          `json:"Kind"`
	Time  time.Duration `json:"Time"`  // of Flap, Delay and Jitter
	Share float64       `json:"Share"` // of Drop, Repeat, Swap and Corrupt; of Throttle: bytes a second
	For   time.Duration `json:"For"`   // how long the fault is active; 0: of Reset
}

// Parse parses the text of a fault: cut D | flap ON D | delay T D | jitter T D | drop S D | repeat S D | swap S D |
// corrupt S D | throttle BYTES D | reset.
func Parse(text string) (Fault, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return Fault{}, errors.New("nothing to do")
	}
	verb, arguments := fields[0], fields[1:]
	fault := Fault{Kind: Kind(verb)}
	count, known := parameters[fault.Kind]
	if !known {
		return fault, fmt.Errorf("%q is nothing that can be done to a link", verb)
	}
	if len(arguments) != count {
		return fault, fmt.Errorf("%s wants %d words behind it, there are %d", verb, count, len(arguments))
	}
	if count == 0 {
		return fault, nil
	}
	var err error
	if fault.For, err = parseDuration(verb, arguments[count-1]); err != nil || count == 1 {
		return fault, err
	}
	switch fault.Kind {
	case Flap, Delay, Jitter:
		fault.Time, err = parseDuration(verb, arguments[0])
	default:
		fault.Share, err = parseShare(fault.Kind, arguments[0])
	}
	return fault, err
}

// parseDuration parses a duration above 0.
func parseDuration(verb, text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		return value, fmt.Errorf("%s: %q is no duration above 0", verb, text)
	}
	return value, nil
}

// parseShare parses a fraction above 0, or the bytes a second of Throttle.
func parseShare(kind Kind, text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0) || kind != Throttle && value > 1 {
		return value, fmt.Errorf("%s: %q is out of range", kind, text)
	}
	return value, nil
}

// FaultRecord says what one fault did on one direction. Its times are those of the network's clock.
type FaultRecord struct {
	Direction    string        `json:"Way"` // FROM>TO
	Fault        Fault         `json:"Fault"`
	SetAt        time.Duration `json:"Set"`   // when it was injected
	FirstActedAt time.Duration `json:"First"` // 0: never
	LastActedAt  time.Duration `json:"Last"`  // 0: never
	Count        int           `json:"Times"` // datagrams, chunks or resets that it acted on
}

// add counts one action of the fault.
func (r *FaultRecord) add(now time.Duration) {
	r.Count++
	if r.FirstActedAt == 0 {
		r.FirstActedAt = now
	}
	r.LastActedAt = now
}
