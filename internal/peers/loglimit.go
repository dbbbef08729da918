package peers

import (
	"sync"
	"time"
)

const maxLinesPerSecond = 20 // per kind of log line

// lineKind identifies a group of log lines that share a rate limit.
type lineKind uint8

const (
	changeLines lineKind = iota // changes of the membership
	keyFileLines
	seedsFileLines
	leftLines   // this instance has left the group
	listenLines // the socket could not be opened
	readLines   // the socket could not be read
	lineKindCount
)

func (k lineKind) String() string {
	switch k {
	case changeLines:
		return "changes"
	case keyFileLines:
		return "key file"
	case seedsFileLines:
		return "seeds file"
	case leftLines:
		return "left"
	case listenLines:
		return "listen"
	case readLines:
		return "read"
	default:
		return "unknown"
	}
}

// logLimiter limits the rate of log lines of each kind. It is safe for concurrent use.
type logLimiter struct {
	mu      sync.Mutex // guards all fields
	since   time.Time  // start of the current one-second window
	counts  [lineKindCount]int
	omitted [lineKindCount]int  // lines that were suppressed since the start
	logged  [lineKindCount]bool // for which once was called
}

// allow reports whether another line of a kind may be logged in the current
// second. Lines that may not are counted.
func (l *logLimiter) allow(kind lineKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.since) > time.Second {
		l.since = time.Now()
		l.counts = [lineKindCount]int{}
	}
	l.counts[kind]++
	if l.counts[kind] > maxLinesPerSecond {
		l.omitted[kind]++
		return false
	}
	return true
}

// omittedCount returns how many lines of a kind were suppressed since the start.
func (l *logLimiter) omittedCount(kind lineKind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.omitted[kind]
}

// once reports whether this is the first call for a kind.
func (l *logLimiter) once(kind lineKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.logged[kind]
	l.logged[kind] = true
	return first
}
