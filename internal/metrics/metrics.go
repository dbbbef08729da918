// Package metrics counts the requests, attempts and connections of an ingress, and formats the counts as plain text
// for operators: lines of the form NAME=NUMBER in a stable order. Callers report each request that is accepted, its
// end, and each attempt that is written completely. Everything is safe for concurrent use and nothing blocks.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// linePrefix is the prefix of each metric's name in the text.
const linePrefix = "edge_router."

// initialTextSize is the initial capacity of the text in bytes.
const initialTextSize = 512

// Set holds the metrics of one process, all of which start at 0. Its methods may be called from any goroutine.
type Set struct {
	classes         []string
	classIndex      map[string]int // index of each class in requests
	requests        [][requestEndCount]atomic.Int64
	disconnects     [disconnectStageCount]atomic.Int64
	attemptsSent    atomic.Int64 // attempts that were written completely
	openRequests    atomic.Int64 // requests that have not ended
	backends        atomic.Int64 // backends in the endpoint list
	avoidedBackends atomic.Int64 // listed backends that are currently avoided
	groups          [groupCount]counterGroup
}

// New returns a Set for the given request classes, reasons of rejections and failures, and outcomes of attempts. The
// metrics keep the order of these names.
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

// RequestAccepted counts a request that was accepted. It counts as open until its end is reported.
func (s *Set) RequestAccepted() { s.openRequests.Add(1) }

// RequestEnded counts the end of an accepted request, once per request. If the class is not in the settings, the end
// is not counted, but the request is no longer open.
func (s *Set) RequestEnded(class string, end RequestEnd) {
	s.openRequests.Add(-1)
	if i, ok := s.classIndex[class]; ok {
		s.requests[i][end].Add(1)
	}
}

// ClientDisconnected counts an accepted request whose client has disconnected, by the stage that the request had
// reached. It is called instead of RequestEnded.
func (s *Set) ClientDisconnected(stage DisconnectStage) {
	s.openRequests.Add(-1)
	s.disconnects[stage].Add(1)
}

// Disconnects returns how many requests were dropped at a stage because their clients had disconnected.
func (s *Set) Disconnects(stage DisconnectStage) int64 { return s.disconnects[stage].Load() }

// AttemptSent counts an attempt that was written completely.
func (s *Set) AttemptSent() { s.attemptsSent.Add(1) }

// SetBackends sets the number of listed backends, and how many of them are currently avoided.
func (s *Set) SetBackends(size, avoidedBackends int) {
	s.backends.Store(int64(size))
	s.avoidedBackends.Store(int64(avoidedBackends))
}

// Classes returns the request classes, in the order of the settings.
func (s *Set) Classes() []string { return s.classes }

// Backends returns the number of listed backends, and how many of them are currently avoided.
func (s *Set) Backends() (size, avoidedBackends int64) {
	return s.backends.Load(), s.avoidedBackends.Load()
}

// OpenRequests returns the number of requests that were accepted and have not ended.
func (s *Set) OpenRequests() int64 { return s.openRequests.Load() }

// Requests returns the number of requests of a class that had the given end. It is 0 if the class is not in the
// settings.
func (s *Set) Requests(class string, end RequestEnd) int64 {
	i, ok := s.classIndex[class]
	if !ok {
		return 0
	}
	return s.requests[i][end].Load()
}

// AttemptsSent returns the number of attempts that were written completely.
func (s *Set) AttemptsSent() int64 { return s.attemptsSent.Load() }

// AppendLine appends the line NAME=NUMBER of one metric to text.
func AppendLine(text []byte, name string, value int64) []byte {
	text = append(text, linePrefix...)
	text = append(text, name...)
	text = append(text, '=')
	text = strconv.AppendInt(text, value, 10)
	return append(text, '\n')
}

// Text returns all metrics, one per line.
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
	appendLine("cluster_unhealthy", s.avoidedBackends.Load())
	for _, stage := range Stages() {
		appendLine("clients_gone."+stage.String(), s.Disconnects(stage))
	}
	s.Each(func(group, name string, value int64) { appendLine(group+"."+name, value) })
	return text
}
