package metrics

import (
	"strings"
	"sync"
	"testing"
)

// From the start, the text contains each class with 0, in the order of the settings.
func TestTextAtStart(t *testing.T) {
	const want = `edge_router.transactions.b.answered=0
edge_router.transactions.b.deferred=0
edge_router.transactions.b.errored=0
edge_router.transactions.a.answered=0
edge_router.transactions.a.deferred=0
edge_router.transactions.a.errored=0
edge_router.sends=0
edge_router.current=0
edge_router.cluster_size=0
edge_router.cluster_unhealthy=0
edge_router.clients_gone.before_admission=0
edge_router.clients_gone.before_attempt=0
edge_router.clients_gone.before_retry=0
edge_router.clients_gone.in_flight=0
edge_router.refused.quota=0
edge_router.failed.quota=0
edge_router.attempts.done=0
edge_router.attempts_held_back.time_over=0
edge_router.attempts_held_back.client_unseen=0
edge_router.connections_closed.by_client=0
edge_router.connections_closed.by_protocol=0
edge_router.connections_closed.by_server=0
edge_router.connections_closed.slow_reader=0
edge_router.connections_closed.shutdown_limit=0
edge_router.commands_delayed.reply_memory=0
edge_router.commands_delayed.processor_time=0
edge_router.commands_delayed.streamed_value=0
edge_router.timer_delay.up_to_1_ms=0
edge_router.timer_delay.up_to_10_ms=0
edge_router.timer_delay.up_to_100_ms=0
edge_router.timer_delay.longer=0
edge_router.arrival_delay.up_to_1_ms=0
edge_router.arrival_delay.up_to_10_ms=0
edge_router.arrival_delay.up_to_100_ms=0
edge_router.arrival_delay.longer=0
edge_router.turn_delay.up_to_1_ms=0
edge_router.turn_delay.up_to_10_ms=0
edge_router.turn_delay.up_to_100_ms=0
edge_router.turn_delay.longer=0
`
	if got := string(New([]string{"b", "a"}, []string{"quota"}, []string{"done"}).Text()); got != want {
		t.Errorf("got initial text:\n%s\nwant:\n%s", got, want)
	}
}

// Ends that are reported concurrently are each counted exactly once.
func TestText(t *testing.T) {
	s := New([]string{"b", "a"}, []string{"quota"}, []string{"done"})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				s.RequestAccepted()
				s.RequestAccepted()
				s.RequestAccepted()
				s.AttemptSent()
				s.RequestEnded("a", Answered)
				s.RequestEnded("b", Deferred)
				s.RequestEnded("unknown", Errored)
			}
		})
	}
	wg.Wait()
	s.RequestAccepted()
	s.ClientDisconnected(BeforeRetry)
	s.SetBackends(7, 2)
	got := string(s.Text())
	for _, want := range []string{
		"transactions.a.answered=800", "transactions.b.deferred=800", "transactions.a.errored=0", "sends=800",
		"current=0", "cluster_size=7", "cluster_unhealthy=2", "clients_gone.before_retry=1",
		"clients_gone.in_flight=0",
	} {
		if !strings.Contains(got, "edge_router."+want+"\n") {
			t.Errorf("line %s is missing in:\n%s", want, got)
		}
	}
}
