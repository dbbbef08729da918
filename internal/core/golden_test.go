package core

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/escrow"
	"hitchspring/internal/golden"
	"hitchspring/internal/lease"
	"hitchspring/internal/overrun"
	"hitchspring/internal/takeover"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

// The encoding of messages is fixed, since instances of different versions exchange them.
func TestGoldenMessages(t *testing.T) {
	golden.RequireTags(t, "cbor", peerMessage{})
	messages := map[string]peerMessage{}
	add := func(name string, fill func(*peerMessage)) {
		var p peerMessage
		fill(&p)
		messages[name] = p
	}
	add("work-intent", func(p *peerMessage) { p.Intent = filled[takeover.Intent]() })
	add("work-reply", func(p *peerMessage) { p.Reply = filled[takeover.Reply]() })
	add("work-end", func(p *peerMessage) { p.Completion = filled[takeover.Completion]() })
	add("work-end-acknowledged", func(p *peerMessage) { p.CompletionAck = filled[takeover.Completion]() })
	add("work-outcome", func(p *peerMessage) { p.Notification = filled[takeover.Notification]() })
	add("quota-parts", func(p *peerMessage) { p.Escrow = filled[escrow.Message]() })
	add("all", func(p *peerMessage) { golden.Fill(p) })
	for name, p := range messages {
		t.Run(name, func(t *testing.T) {
			written, err := cbor.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "message-"+name, written)
			var read peerMessage
			if err := cbor.Unmarshal(golden.Read(t, "message-"+name), &read); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, p) {
				t.Errorf("got %+v, want %+v", read, p)
			}
		})
	}
}

// filled returns a value whose fields are all set.
func filled[T any]() *T {
	v := new(T)
	golden.Fill(v)
	return v
}

// The encoding of the status is fixed, since `hitchspring status` may read it from an instance of another version.
func TestGoldenStatus(t *testing.T) {
	for name, v := range map[string]any{
		"nodes":   filled[BackendsStatus](),
		"work":    filled[WorkStatus](),
		"rights":  filled[EscrowStatus](),
		"budgets": filled[overrun.Bound](),
		"halls":   filled[zones.Status](),
	} {
		t.Run(name, func(t *testing.T) {
			golden.RequireTags(t, "json", v)
			written, err := json.MarshalIndent(v, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "status-"+name, written)
		})
	}
}

// The names of reasons, outcomes and states in logs, metrics and reports are fixed, since other programs parse them.
func TestGoldenTerms(t *testing.T) {
	var b strings.Builder
	for r := range policy.ReasonCount {
		b.WriteString("reason " + policy.Reason(r).String() + "\n")
	}
	for _, name := range outcomeNames {
		b.WriteString("outcome " + name + "\n")
	}
	for _, name := range summaryFieldNames {
		b.WriteString("summary " + name + "\n")
	}
	for _, name := range zones.States() {
		b.WriteString("hall " + name + "\n")
	}
	for m := range overrun.Mode(16) {
		b.WriteString("budget " + m.String() + "\n")
	}
	for s := lease.Open; s <= lease.Expired; s++ {
		b.WriteString("request " + s.String() + "\n")
	}
	for i, name := range []string{"served", "refused", "failed", "unsent"} {
		if o, known := lease.ParseOutcome(name); !known || int(o) != i+1 {
			t.Errorf("outcome %q: got %d, %v, want %d", name, o, known, i+1)
		}
	}
	golden.Compare(t, "terms", []byte(b.String()))
}
