package escrow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Accounts beyond MaxAccounts are counted and stay equally divided. Other accounts
// can be added after the existing ones have expired.
func TestMaxAccounts(t *testing.T) {
	const excess = 44
	now := time.Hour
	a := New(0, instances, now, rand.New(rand.NewPCG(1, 2)))
	var needs []Need
	for i := range MaxAccounts + excess {
		needs = append(needs, Need{Key: fmt.Sprintf("channel-%03d", i), Spread: 2, WantedShare: 0.1})
	}
	expect := func(accounts, full int) {
		t.Helper()
		if got := len(a.Allocations(now)); got != accounts {
			t.Fatalf("accounts: got %d, want %d", got, accounts)
		}
		if got := a.Counts().Full; got != full {
			t.Fatalf("accounts beyond the limit: got %d, want %d", got, full)
		}
	}
	a.Tick(now, needs[:MaxAccounts], nil)
	expect(MaxAccounts, 0)
	a.Tick(now, needs, nil)
	expect(MaxAccounts, excess)
	now += retention + time.Second
	a.Tick(now, nil, nil)
	a.Tick(now, needs[MaxAccounts:], nil)
	expect(excess, excess)
}

// A peer that reports the loss of the counter is assumed to spend the share that it
// reports, and a silent peer what it wanted, less what the counter's totals show.
func TestUnreportedShare(t *testing.T) {
	tests := map[string]struct {
		counterLost bool
		silence     time.Duration
		othersShare float64
		ended       bool
		want        float64
	}{
		"counter answers":                   {othersShare: 0.3, want: 0},
		"counter lost":                      {counterLost: true, want: homeShare},
		"silent and totals show nothing":    {silence: 2 * time.Second, want: homeShare},
		"silent and totals show its adds":   {silence: 2 * time.Second, othersShare: 0.4, want: 0},
		"silent for very long":              {silence: 2 * time.Minute, want: 0},
		"ended":                             {counterLost: true, silence: 2 * time.Second, ended: true, want: 0},
		"silent after its counter was lost": {counterLost: true, silence: 2 * time.Second, want: homeShare},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer := Member{"b", 1}
			a := New(0, instances, time.Hour, rand.New(rand.NewPCG(1, 1)))
			now := time.Hour + 2*time.Second
			usage := Usage{
				Key:            testAccount,
				Share:          homeShare,
				WantedShare:    1,
				ForwardedShare: 0.3,
				CounterLost:    test.counterLost,
			}
			a.Receive(now, peer, Message{Sender: 1, Instances: instances, Usages: []Usage{usage}})
			now += test.silence
			if test.ended {
				a.PeerEnded(peer.Name, peer.Incarnation)
			}
			need := Need{Key: testAccount, Spread: instances, WantedShare: 1, OthersShare: test.othersShare}
			a.Tick(now, []Need{need}, []Member{peer})
			if got := a.Allocations(now)[testAccount].Unreported; math.Abs(got-test.want) > tolerance {
				t.Errorf("unreported share: got %.3f, want %.3f", got, test.want)
			}
		})
	}
}

// A late message from a peer that has ended marks the peer as running again. This
// must not let this instance spend more: the peer counts as one that may spend,
// until the retention time is over.
func TestLateMessageOfEndedPeerFreesNothing(t *testing.T) {
	peer := Member{"b", 1}
	a := New(0, instances, time.Hour, rand.New(rand.NewPCG(1, 1)))
	now := time.Hour + 2*time.Second
	message := Message{Sender: 1, Instances: instances, Usages: []Usage{{
		Key:         testAccount,
		Share:       homeShare,
		WantedShare: 1,
		CounterLost: true,
	}}}
	need := []Need{{Key: testAccount, Spread: instances, WantedShare: 1}}
	allocation := func() Allocation {
		a.Tick(now, need, []Member{peer})
		return a.Allocations(now)[testAccount]
	}
	a.Receive(now, peer, message)
	a.PeerEnded(peer.Name, peer.Incarnation)
	ended := allocation()
	a.Receive(now, peer, message)
	late := allocation()
	if late.Share > ended.Share || late.Unreported < ended.Unreported {
		t.Errorf("after a late message: got %+v, want no more than %+v", late, ended)
	}
	now += retention + 2*time.Second
	if forgotten := allocation(); forgotten.Unreported != 0 {
		t.Errorf("after %v: got %+v, want no unreported share", retention, forgotten)
	}
}

// requestMessage returns a message from instance 1 with a request for a transfer.
func requestMessage(request TransferRequest) Message {
	return Message{Sender: 1, Instances: instances, Requests: []TransferRequest{request}}
}

// Invalid messages don't change the allocations.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	request := func(change func(r *TransferRequest)) Message {
		r := TransferRequest{Key: testAccount, Spread: instances, Transfer: 1, Sequence: 1, Share: 0.1}
		change(&r)
		return requestMessage(r)
	}
	tests := map[string]Message{
		"own number":       {Sender: 0, Instances: instances},
		"number too large": {Sender: 7, Instances: instances},
		"negative number":  {Sender: -1, Instances: instances},
		"another fleet":    {Sender: 1, Instances: 4},
		"usages out of bounds": {Sender: 1, Instances: instances, Usages: []Usage{
			{Key: testAccount, Share: math.NaN()},
			{Key: testAccount, Share: -1},
			{Key: testAccount, WantedShare: 1e300},
		}},
		"share is NaN":    request(func(r *TransferRequest) { r.Share = math.NaN() }),
		"negative share":  request(func(r *TransferRequest) { r.Share = -1 }),
		"share above one": request(func(r *TransferRequest) { r.Share = 2 }),
		"negative spread": request(func(r *TransferRequest) { r.Spread = -3 }),
		"negative first":  request(func(r *TransferRequest) { r.Spread, r.First = 2, -1 }),
		"another spread":  request(func(r *TransferRequest) { r.Spread = 2 }),
		"no key":          request(func(r *TransferRequest) { r.Key = "" }),
		"grants that were not requested": {Sender: 1, Instances: instances, Grants: []TransferGrant{
			{Key: testAccount, Transfer: 99, Sequence: 1, Share: 0.3},
			{Key: "none", Transfer: 1, Sequence: 1, Share: 0.3},
			{Key: testAccount, Transfer: 1, Sequence: 1, Share: math.Inf(1)},
		}},
	}
	c := newCluster(1, 1, 1)
	c.run(1500 * ms)
	a, now := c.allocators[0], c.clock(0)
	before := fmt.Sprint(a.Allocations(now))
	expectUnchanged := func(t *testing.T) {
		t.Helper()
		if got := fmt.Sprint(a.Allocations(now)); got != before {
			t.Errorf("allocations: got %s, want %s", got, before)
		}
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			message.SenderNonce = c.allocators[1].nonce
			a.Receive(now, c.member(1), message)
			expectUnchanged(t)
		})
	}
	t.Run("number of a reachable peer", func(t *testing.T) {
		a.Receive(now, Member{"z", 1}, Message{Sender: 1, Instances: instances})
		if got := a.Counts().Conflicts; got != 1 {
			t.Errorf("conflicts: got %d, want 1", got)
		}
	})
	t.Run("ended incarnation", func(t *testing.T) {
		r := TransferRequest{Key: testAccount, Spread: instances, Transfer: 5, Sequence: 1, Share: 0.1}
		a.Receive(now, Member{"b", 0}, requestMessage(r))
		expectUnchanged(t)
	})
}
