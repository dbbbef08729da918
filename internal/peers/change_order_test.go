package peers

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/swim"
)

// receiveUpdate delivers an update to an instance: from the member itself if it is
// alive, otherwise from another member.
func receiveUpdate(p *Peers, update swim.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	message := &swim.Message{Self: update}
	if update.State != swim.Alive {
		message = &swim.Message{Self: swim.Update{Name: "other", Addr: "127.0.0.1:2"}, Updates: []swim.Update{update}}
	}
	p.engine.membership.Receive(p.cfg.Clock(), message)
}

// Guards against a refutation that is reported before the death that it refutes.
// While one goroutine is in OnChange, changes found by other goroutines are queued
// in order, and those goroutines do not block.
func TestChangesAreReportedOneAtATime(t *testing.T) {
	now := time.Hour
	p := newUnstarted(t, &logBuffer{}, &now)
	entered, resume := make(chan struct{}), make(chan struct{})
	var atOnce, maxAtOnce atomic.Int32
	var states []swim.State // of b; not locked, since calls of OnChange must not overlap
	p.cfg.OnChange = func(changes []swim.Change) {
		maxAtOnce.Store(max(maxAtOnce.Load(), atOnce.Add(1)))
		defer atOnce.Add(-1)
		for _, change := range changes {
			if change.Name == "b" {
				states = append(states, change.State)
			}
		}
		if len(states) == 1 {
			close(entered)
			<-resume
		}
	}
	b := swim.Update{Name: "b", Addr: "127.0.0.1:1", Incarnation: 1}
	receiveUpdate(p, b)
	passedOn := make(chan struct{})
	go func() {
		defer close(passedOn)
		p.reportNewChanges()
	}()
	<-entered
	dead, refuted := b, b
	dead.State, dead.SuspectedBy, refuted.Refutation = swim.Dead, "other", 1
	for _, update := range []swim.Update{dead, refuted} {
		receiveUpdate(p, update)
		found := make(chan struct{})
		go func() {
			defer close(found)
			p.reportNewChanges()
		}()
		select {
		case <-found:
		case <-time.After(10 * time.Second):
			t.Error("a goroutine that found a change is blocked by another one in OnChange")
		}
	}
	close(resume)
	<-passedOn
	if want := []swim.State{swim.Alive, swim.Dead, swim.Alive}; !slices.Equal(states, want) || maxAtOnce.Load() != 1 {
		t.Errorf("got %v with up to %d concurrent calls, want %v one after another", states, maxAtOnce.Load(), want)
	}
}
