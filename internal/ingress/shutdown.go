package ingress

import (
	"context"
	"time"

	"hitchspring/internal/front/resp"
	"hitchspring/policy"
)

const (
	listenerGrace    = 600 * time.Millisecond // after SIGTERM: new connections are still accepted
	commandGrace     = 700 * time.Millisecond // after SIGTERM: commands are accepted and have their full deadline
	maxRequestGrace  = 3 * time.Second        // longest wait for the end of an accepted request
	lastAnswersGrace = 100 * time.Millisecond // from the last answers to process exit, and from exit to SIGKILL
)

// shutDown answers the accepted requests and returns when all clients have
// disconnected, or at the shutdown timeout.
//
// All times are measured from signaledAt, however long the steps take, since the
// platform sends SIGKILL at a fixed time after SIGTERM. Connections stay open for at
// least lastAnswersGrace after the last answers, even if the process was delayed.
func (i *Instance) shutDown(front *resp.Front, signaledAt time.Time) {
	i.log.Info("shutting down")
	i.shuttingDown.Store(true)
	front.StartDrain()
	if i.config.Listener != nil { // the next process accepts the connections in the listen queue
		front.Close()
		i.handOver()
	}
	if i.auth != nil {
		i.auth.Unready()
	}
	time.Sleep(time.Until(signaledAt.Add(listenerGrace)))
	drainCtx, endDrain := context.WithCancel(context.Background())
	lastAnswers := make(chan struct{})
	timer := time.AfterFunc(time.Until(signaledAt.Add(shutdownTimeout(i.config.Settings)-lastAnswersGrace)), func() {
		defer close(lastAnswers)
		i.core.AnswerAll()
		sleepContext(drainCtx, lastAnswersGrace)
		endDrain()
	})
	authDone := make(chan struct{})
	go func() {
		defer close(authDone)
		if i.auth != nil {
			i.auth.Drain(drainCtx)
		}
	}()
	front.Drain(drainCtx)
	<-authDone
	endDrain()
	if !timer.Stop() {
		<-lastAnswers
	}
}

// sleepContext waits for d or until ctx ends, whichever is first.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// shutdownTimeout returns the maximum time from SIGTERM to process exit. It ends
// before the platform's SIGKILL, which comes at the earliest after commandGrace plus
// the longest deadline of a class.
func shutdownTimeout(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxRequestGrace) + commandGrace - lastAnswersGrace
}
