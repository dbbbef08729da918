package peers

import (
	"sync"
	"time"
)

const maxLinesPerSecond = 20 // log lines of one kind

// lineKind groups log lines that share a limit.
type lineKind uint8

const (
	changeLines lineKind = iota // changes of the membership
	keyFileLines
	seedsFileLines
	leftLines   // this instance has left the group
	listenLines // its address can't be used
	readLines   // its socket can't be read
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

// logLimiter limits the log lines of each kind. It is safe for concurrent use.
type logLimiter struct {
	mu      sync.Mutex // guards all fields
	since   time.Time  // when the present second began
	counts  [lineKindCount]int
	omitted [lineKindCount]int // lines that were not allowed, since the start
	logged  [lineKindCount]bool
}

// allow reports whether another line of a kind may be logged in this second. It
// counts those that may not.
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

// omittedCount returns how many lines of a kind were not allowed.
func (l *logLimiter) omittedCount(kind lineKind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.omitted[kind]
}

// once reports whether it is called for a kind for the first time.
func (l *logLimiter) once(kind lineKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.logged[kind]
	l.logged[kind] = true
	return first
}
