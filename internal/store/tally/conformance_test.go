package tally

import (
	"testing"
	"time"

	standin "hitchspring/internal/standin/tally"
	"hitchspring/internal/store"
	"hitchspring/internal/store/storetest"
)

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Server {
		s, err := standin.Start("", 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return storetest.Server{
			Addr:   s.Addr(),
			Total:  s.Total,
			Stop:   s.Stop,
			Listen: s.Listen,
			New:    func(sink store.Sink) store.Counter { return New(s.Addr(), time.Second, sink) },
		}
	})
}
