package ingress

import (
	"context"
	"time"

	"hitchspring/internal/front/resp"
	"hitchspring/policy"
)

const (
	listenerGrace    = 600 * time.Millisecond // after SIGTERM, in which new connections are served
	commandGrace     = 700 * time.Millisecond // after SIGTERM, in which commands are taken that have all their time
	maxRequestGrace  = 3 * time.Second        // for a request that was taken
	lastAnswersGrace = 100 * time.Millisecond // from the last answers to the end, and from the end to SIGKILL
)

// shutDown answers what has been taken and returns when all clients have
// disconnected, or when their time is over.
//
// Its times count from signaledAt, whatever the steps before have taken, since the
// platform's SIGKILL counts from there. Connections are closed no sooner than
// lastAnswersGrace after the last answers, even if the process was delayed.
func (i *Instance) shutDown(front *resp.Front, signaledAt time.Time) {
	i.log.Info("shutting down")
	i.shuttingDown.Store(true)
	front.StartDrain()
	if i.config.Listener != nil { // the next process accepts what is in the listen queue
		front.Close()
		i.handOver()
	}
	if i.auth != nil {
		i.auth.Unready()
	}
	time.Sleep(time.Until(signaledAt.Add(listenerGrace)))
	limit, endLimit := context.WithCancel(context.Background())
	lastAnswers := make(chan struct{})
	timer := time.AfterFunc(time.Until(signaledAt.Add(shutdownTimeout(i.config.Settings)-lastAnswersGrace)), func() {
		defer close(lastAnswers)
		i.core.AnswerAll()
		waitFor(limit, lastAnswersGrace)
		endLimit()
	})
	gatesDone := make(chan struct{})
	go func() {
		defer close(gatesDone)
		if i.auth != nil {
			i.auth.Drain(limit)
		}
	}()
	front.Drain(limit)
	<-gatesDone
	endLimit()
	if !timer.Stop() {
		<-lastAnswers
	}
}

// waitFor waits for d, unless ctx ends before.
func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// shutdownTimeout is the time from SIGTERM to the end of the process. It is over
// before the platform's SIGKILL, which comes no sooner than the longest deadline of
// a class after commandGrace.
func shutdownTimeout(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxRequestGrace) + commandGrace - lastAnswersGrace
}
