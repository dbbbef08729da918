package ingress

import (
	"context"
	"time"

	"hitchspring/internal/front/resp"
	"hitchspring/policy"
)

const (
	listenerGrace = 600 * time.Millisecond // after SIGTERM: new connections go on being served
	commandGrace = 700 * time.Millisecond // after SIGTERM: what has been taken by then is owed its whole time, and the platform leaves that
	maxRequestGrace = 3 * time.Second        // of a request's time
	lastAnswersGrace  = 100 * time.Millisecond // before the platform's SIGKILL all has ended, and so long before that all is answered: answers take time to leave
)

// shutDown answers what has been taken and returns when all clients have gone, or when their time is over. Each of its times counts from when
// the process was told to end, whatever the steps before it have taken: the platform's SIGKILL counts from there. Connections are closed no
// sooner than graceEnd after the last answers, also where the process was held up: these come first, however late they are.
func (i *Instance) shutDown(f *resp.Front, signaledAt time.Time) {
	i.log.Info("shutting down")
	i.shuttingDown.Store(true)
	f.StartDrain()
	if i.config.Listener != nil { // the next process has the queue
		f.Close()
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
	f.Drain(limit)
	<-gatesDone
	endLimit()
	if !timer.Stop() {
		<-lastAnswers
	}
}

// pause waits, unless ctx ends before.
func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// graceAll is when an ingress is gone after SIGTERM: before the platform's SIGKILL, which comes no sooner than the longest time that a client
// waits after the last request that is taken.
func shutdownTimeout(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxRequestGrace) + commandGrace - lastAnswersGrace
}
