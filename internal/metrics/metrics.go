// Package metrics counts what an ingress does with requests, and formats it as plain text for operators. In comes one
// call for each request that is accepted, for its one end, and for each attempt that is written completely; out go
// lines NAME=NUMBER in a stable order. The package decides nothing. All of it is safe for concurrent use, and nothing
// blocks.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// linePrefix begins each line of the text.
const linePrefix = "edge_router."

// initialTextSize is the capacity, in bytes, with which the text is allocated.
const initialTextSize = 512

// Set holds the metrics of one process; each counts from 0. Its methods may be called from any goroutine.
type Set struct {
	classes     []string
	classIndex  map[string]int // into requests
	requests    [][requestEndCount]atomic.Int64
	disconnects [disconnectStageCount]atomic.Int64
	sends       atomic.Int64 // attempts written completely
	current     atomic.Int64 // requests that have not ended
	backends    atomic.Int64 // in the endpoint list
	unhealthy   atomic.Int64 // of these, avoided now
	groups      [groupCount]counterGroup
}

// New returns the metrics for the request classes of the settings, in their order, the reasons of rejections and
// failures, and the outcomes of attempts.
func New(classes, reasons, outcomes []string) *Set {
	s := &Set{
		classes:    classes,
		classIndex: map[string]int{},
		requests:   make([][requestEndCount]atomic.Int64, len(classes)),
		groups:     newGroups(reasons, outcomes),
	}
	for i, class := range classes {
		s.classIndex[class] = i
	}
	return s
}

// RequestAccepted counts a request that has not ended.
func (s *Set) RequestAccepted() { s.current.Add(1) }

// RequestEnded counts the one end of a request that was accepted. A class that isn't in the settings is not counted.
func (s *Set) RequestEnded(class string, end RequestEnd) {
	s.current.Add(-1)
	if i, ok := s.classIndex[class]; ok {
		s.requests[i][end].Add(1)
	}
}

// ClientDisconnected counts an accepted request whose client has disconnected, by the stage that the request had
// reached. Such a request has no end of its own.
func (s *Set) ClientDisconnected(stage DisconnectStage) {
	s.current.Add(-1)
	s.disconnects[stage].Add(1)
}

// Disconnects returns how many requests were dropped at a stage because their clients had disconnected.
func (s *Set) Disconnects(stage DisconnectStage) int64 { return s.disconnects[stage].Load() }

// AttemptSent counts an attempt that was written to its last byte.
func (s *Set) AttemptSent() { s.sends.Add(1) }

// SetBackends sets how many backends are listed, and how many of them are avoided now.
func (s *Set) SetBackends(size, unhealthy int) {
	s.backends.Store(int64(size))
	s.unhealthy.Store(int64(unhealthy))
}

// Classes returns the request classes, in the order of the settings.
func (s *Set) Classes() []string { return s.classes }

// Backends returns how many backends are listed, and how many of them are avoided.
func (s *Set) Backends() (size, unhealthy int64) { return s.backends.Load(), s.unhealthy.Load() }

// OpenRequests returns the number of requests that were accepted and have not ended.
func (s *Set) OpenRequests() int64 { return s.current.Load() }

// Requests returns how many requests of a class had an end; 0 for a class that isn't in the settings.
func (s *Set) Requests(class string, end RequestEnd) int64 {
	i, ok := s.classIndex[class]
	if !ok {
		return 0
	}
	return s.requests[i][end].Load()
}

// AttemptsSent returns the number of attempts that were written completely.
func (s *Set) AttemptsSent() int64 { return s.sends.Load() }

// AppendLine appends the line of one metric to text.
func AppendLine(text []byte, name string, value int64) []byte {
	text = append(text, linePrefix...)
	text = append(text, name...)
	text = append(text, '=')
	text = strconv.AppendInt(text, value, 10)
	return append(text, '\n')
}

// Text returns all metrics, a line each.
func (s *Set) Text() []byte {
	text := make([]byte, 0, initialTextSize)
	appendLine := func(name string, value int64) { text = AppendLine(text, name, value) }
	for i, class := range s.classes {
		for end, name := range requestEndNames {
			appendLine("transactions."+class+"."+name, s.requests[i][end].Load())
		}
	}
	appendLine("sends", s.AttemptsSent())
	appendLine("current", s.OpenRequests())
	appendLine("cluster_size", s.backends.Load())
	appendLine("cluster_unhealthy", s.unhealthy.Load())
	for _, stage := range Stages() {
		appendLine("clients_gone."+stage.String(), s.Disconnects(stage))
	}
	s.Each(func(group, name string, value int64) { appendLine(group+"."+name, value) })
	return text
}
