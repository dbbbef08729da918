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
	Flap     Kind = "flap"     // alternately cut and open, for a given time each
	Delay    Kind = "delay"    // everything is delayed by a given time
	Jitter   Kind = "jitter"   // each is delayed by a random part of a given time, which may reorder datagrams
	Drop     Kind = "drop"     // a share is lost; a chunk is delayed instead, as by a retransmission
	Repeat   Kind = "repeat"   // a share of datagrams is duplicated
	Swap     Kind = "swap"     // a share of datagrams is swapped with the next one
	Corrupt  Kind = "corrupt"  // one byte is changed in a share
	Throttle Kind = "throttle" // a stream passes at a given number of bytes per second
	Reset    Kind = "reset"    // all connections are reset once
)

// argumentCounts is the number of arguments of each kind in the text of a fault. The last one is the duration.
var argumentCounts = map[Kind]int{
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
	Share float64       `json:"Share"` // of Drop, Repeat, Swap and Corrupt; bytes per second of Throttle
	For   time.Duration `json:"For"`   // how long the fault is active; 0 for Reset
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
	count, known := argumentCounts[fault.Kind]
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

// parseShare parses a fraction above 0, or the bytes per second of Throttle.
func parseShare(kind Kind, text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0) || kind != Throttle && value > 1 {
		return value, fmt.Errorf("%s: %q is out of range", kind, text)
	}
	return value, nil
}

// FaultRecord is what one fault did to one direction. Its times are those of the network's clock.
type FaultRecord struct {
	Direction    string        `json:"Way"` // FROM>TO
	Fault        Fault         `json:"Fault"`
	SetAt        time.Duration `json:"Set"`   // when it was injected
	FirstActedAt time.Duration `json:"First"` // 0: never
	LastActedAt  time.Duration `json:"Last"`  // 0: never
	Count        int           `json:"Times"` // datagrams, chunks or resets that it acted on
}

// add records that the fault acted.
func (r *FaultRecord) add(now time.Duration) {
	r.Count++
	if r.FirstActedAt == 0 {
		r.FirstActedAt = now
	}
	r.LastActedAt = now
}
