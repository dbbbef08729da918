package metrics

import (
	"strings"
	"sync"
	"testing"
)

// Every class is there from the start with 0, in the settings' order, and each end counts once whoever counts it.
func TestText(t *testing.T) {
	s := New([]string{"b", "a"}, []string{"quota"}, []string{"done"})
	first := string(s.Text())
	want := "edge_router.transactions.b.answered=0\nedge_router.transactions.b.deferred=0\nedge_router.transactions.b.errored=0\n" +
		"edge_router.transactions.a.answered=0\nedge_router.transactions.a.deferred=0\nedge_router.transactions.a.errored=0\n" +
		"edge_router.sends=0\nedge_router.current=0\nedge_router.cluster_size=0\nedge_router.cluster_unhealthy=0\n" +
		"edge_router.clients_gone.before_admission=0\nedge_router.clients_gone.before_attempt=0\nedge_router.clients_gone.before_retry=0\n" +
		"edge_router.clients_gone.in_flight=0\nedge_router.refused.quota=0\nedge_router.failed.quota=0\nedge_router.attempts.done=0\n" +
		"edge_router.attempts_held_back.time_over=0\nedge_router.connections_closed.by_client=0\nedge_router.connections_closed.by_protocol=0\n" +
		"edge_router.connections_closed.by_server=0\nedge_router.connections_closed.slow_reader=0\nedge_router.connections_closed.shutdown_limit=0\n"
	if first != want {
		t.Fatalf("figures at the start:\n%s\nwant:\n%s", first, want)
	}
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
	for _, line := range []string{
		"transactions.a.answered=800", "transactions.b.deferred=800", "transactions.a.errored=0", "sends=800",
		"current=0", "cluster_size=7", "cluster_unhealthy=2", "clients_gone.before_retry=1",
		"clients_gone.in_flight=0",
	} {
		if !strings.Contains(string(s.Text()), "edge_router."+line+"\n") {
			t.Errorf("no line %s in:\n%s", line, s.Text())
		}
	}
}
