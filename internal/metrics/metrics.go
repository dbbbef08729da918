// Package figures counts what an ingress does with requests, and words it as plain text for operators. In: one call for each
// request taken, for its one end, for each attempt that was written whole. Out: lines NAME=NUMBER in a stable order. It decides
// nothing. All of it is safe for many goroutines, and none of it waits.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// prefix stands before every figure.
const prefix = "edge_router."

// End is how a request ended.
type RequestEnd uint8

// The ends.
const (
	Answered RequestEnd = iota // served
	Deferred                   // refused: trying again is harmless
	Errored                    // failed
	ends
)

var endNames = [ends]string{"answered", "deferred", "errored"}

// Ends are all ends, in their order.
func Ends() []RequestEnd { return []RequestEnd{Answered, Deferred, Errored} }

// String is the end's name.
func (e RequestEnd) String() string { return endNames[min(e, ends-1)] }

// Stage is how far a request has come.
type DisconnectStage uint8

// The stages at which a client may have gone.
const (
	BeforeAdmission DisconnectStage = iota // its command and the end of its connection were read together: the decision module never saw it
	BeforeAttempt                          // no attempt of it was handed to a connection
	BeforeRetry                            // all attempts had ended, and there was to be another
	InFlight                               // an attempt was out; nothing followed it
	stages
)

var stageNames = [stages]string{"before_admission", "before_attempt", "before_retry", "in_flight"}

// Stages are all stages, in their order.
func Stages() []DisconnectStage {
	return []DisconnectStage{BeforeAdmission, BeforeAttempt, BeforeRetry, InFlight}
}

// String is the stage's name.
func (s DisconnectStage) String() string { return stageNames[min(s, stages-1)] }

// Set is the figures of one process; each counts from 0.
type Set struct {
	classes   []string
	index     map[string]int
	ended     [][ends]atomic.Int64 // by class
	left      [stages]atomic.Int64
	sends     atomic.Int64
	current   atomic.Int64
	size      atomic.Int64
	unhealthy atomic.Int64
	groups    [groupCount]group
}

// New returns figures for the classes of the settings, in their order, the reasons of refusals and failures, and the outcomes of attempts.
func New(classes, reasons, outcomes []string) *Set {
	s := &Set{groups: newGroups(reasons, outcomes), classes: classes, index: map[string]int{}, ended: make([][ends]atomic.Int64, len(classes))}
	for i, c := range classes {
		s.index[c] = i
	}
	return s
}

// Took counts a request as taken and not ended.
func (s *Set) RequestAccepted() { s.current.Add(1) }

// Ended counts the one end of a request that was taken.
func (s *Set) RequestEnded(class string, e RequestEnd) {
	s.current.Add(-1)
	if i, ok := s.index[class]; ok {
		s.ended[i][e].Add(1)
	}
}

// Left counts a request whose client has gone, which has no end of its own, by how far it had come.
func (s *Set) ClientDisconnected(at DisconnectStage) {
	s.current.Add(-1)
	s.left[at].Add(1)
}

// Departures is how many requests were dropped at a stage because their clients had gone.
func (s *Set) Disconnects(at DisconnectStage) int64 { return s.left[at].Load() }

// Sent counts an attempt that was written to its last byte.
func (s *Set) AttemptSent() { s.sends.Add(1) }

// Cluster says how many nodes are listed, and how many of them are avoided now.
func (s *Set) SetBackends(size, unhealthy int) {
	s.size.Store(int64(size))
	s.unhealthy.Store(int64(unhealthy))
}

// Classes are the classes, in the settings' order.
func (s *Set) Classes() []string { return s.classes }

// Nodes is how many nodes are listed, and how many of them are avoided.
func (s *Set) Backends() (size, unhealthy int64) { return s.size.Load(), s.unhealthy.Load() }

// Current is the number of requests taken and not ended.
func (s *Set) Current() int64 { return s.current.Load() }

// Count is how many requests of a class ended so.
func (s *Set) Requests(class string, e RequestEnd) int64 {
	i, ok := s.index[class]
	if !ok {
		return 0
	}
	return s.ended[i][e].Load()
}

// Sends is the number of attempts written whole.
func (s *Set) AttemptsSent() int64 { return s.sends.Load() }

// AppendLine appends one figure's line.
func AppendLine(b []byte, name string, n int64) []byte {
	b = append(append(b, prefix...), name...)
	return append(strconv.AppendInt(append(b, '='), n, 10), '\n')
}

// Text is all figures, a line each.
func (s *Set) Text() []byte {
	b := make([]byte, 0, 512)
	line := func(name string, n int64) { b = AppendLine(b, name, n) }
	for i, c := range s.classes {
		for e, name := range endNames {
			line("transactions."+c+"."+name, s.ended[i][e].Load())
		}
	}
	line("sends", s.sends.Load())
	line("current", s.current.Load())
	line("cluster_size", s.size.Load())
	line("cluster_unhealthy", s.unhealthy.Load())
	for _, at := range Stages() {
		line("clients_gone."+at.String(), s.Disconnects(at))
	}
	s.Each(func(group, name string, n int64) { line(group+"."+name, n) })
	return b
}
