package ingress

import (
	"context"
	"time"

	"hitchspring/internal/front/resp"
	"hitchspring/policy"
)

const (
	graceOpen = 600 * time.Millisecond // after SIGTERM: new connections go on being served
	graceTake = 700 * time.Millisecond // after SIGTERM: what has been taken by then is owed its whole time, and the platform leaves that
	graceMost = 3 * time.Second        // of a request's time
	graceEnd  = 100 * time.Millisecond // before the platform's SIGKILL all has ended, and so long before that all is answered: answers take time to leave
)

// shutDown answers what has been taken and returns when all clients have gone, or when their time is over. Each of its times counts from when
// the process was told to end, whatever the steps before it have taken: the platform's SIGKILL counts from there. Connections are closed no
// sooner than graceEnd after the last answers, also where the process was held up: these come first, however late they are.
func (g *Instance) shutDown(f *resp.Front, told time.Time) {
	g.log.Info("shutting down")
	g.over.Store(true)
	f.StartDrain()
	if g.cfg.Listener != nil { // the next process has the queue
		f.Close()
		g.handOn()
	}
	if g.auth != nil {
		g.auth.Unready()
	}
	time.Sleep(time.Until(told.Add(graceOpen)))
	limit, endLimit := context.WithCancel(context.Background())
	lastAnswers := make(chan struct{})
	timer := time.AfterFunc(time.Until(told.Add(graceAll(g.cfg.Settings)-graceEnd)), func() {
		defer close(lastAnswers)
		g.core.AnswerAll()
		pause(limit, graceEnd)
		endLimit()
	})
	gatesDone := make(chan struct{})
	go func() {
		defer close(gatesDone)
		if g.auth != nil {
			g.auth.Drain(limit)
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
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// graceAll is when an ingress is gone after SIGTERM: before the platform's SIGKILL, which comes no sooner than the longest time that a client
// waits after the last request that is taken.
func graceAll(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, graceMost) + graceTake - graceEnd
}
