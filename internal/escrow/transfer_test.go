package escrow

import (
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const homeShare = 1.0 / instances

// An instance receives a wanted share within a second, and the share returns when
// the others need it. An idle instance retains a minimum.
func TestSharesFollowNeed(t *testing.T) {
	c := newCluster(1, 1, 1)
	c.run(1500 * ms)

	c.wanted = []float64{1, 0, 0}
	c.run(time.Second)
	if got := c.share(0); got < 0.8 {
		t.Errorf("share of the only instance that needs it after a second: got %.2f, want 0.8 at least", got)
	}
	if got := c.share(1); got < 0.08 || got > 0.1 {
		t.Errorf("share of an idle instance: got %.2f, want 0.08 to 0.1, a quarter of a third", got)
	}

	c.wanted = []float64{1, 1, 1}
	c.run(1200 * ms)
	for i := range instances {
		if got := c.share(i); math.Abs(got-homeShare) > 0.01 {
			t.Errorf("share of instance %d when all need it: got %.2f, want %.2f", i, got, homeShare)
		}
	}

	c.wanted = []float64{0.2, 0.9, 0.05}
	c.run(1500 * ms)
	if got := c.share(1); got < 0.6 {
		t.Errorf("share of instance 1 after the need has moved: got %.2f, want 0.6 at least", got)
	}
	if got := c.totalShare(); got > 1+tolerance {
		t.Errorf("shares of all instances: got %.3f, want 1 at the most", got)
	}
}

// An instance that starts doesn't wait for TransferTerm if the other instances
// confirm that they hold none of its share.
func TestStartWithoutEarlierTransfers(t *testing.T) {
	c := newCluster(1, 1, 1)
	c.run(200 * ms)
	for i := range instances {
		if got := c.share(i); math.Abs(got-homeShare) > tolerance {
			t.Errorf("share of instance %d, 200 ms after all started: got %.2f, want %.2f", i, got, homeShare)
		}
	}

	c.run(2 * time.Second)
	c.start(1)
	c.run(200 * ms)
	if got := c.share(1); math.Abs(got-homeShare) > tolerance {
		t.Errorf("share 200 ms after a start without transfers: got %.2f, want %.2f", got, homeShare)
	}

	c.wanted = []float64{1, 0, 0}
	c.run(time.Second)
	c.start(1)
	c.run(200 * ms)
	if got := c.share(1); got > 0.1 {
		t.Errorf("share 200 ms after a start with most of it transferred: got %.2f, want 0.1 at the most", got)
	}
}

// The receiver or the giver of a transfer fails, pauses or restarts. No share may
// be held twice, and each running instance must have its home share again after
// three seconds.
func TestHolderIsLost(t *testing.T) {
	const receiver, giver = 0, 1
	tests := map[string]func(c *cluster){
		"receiver fails":          func(c *cluster) { c.allocators[receiver] = nil },
		"receiver restarts":       func(c *cluster) { c.start(receiver) },
		"receiver restarts twice": func(c *cluster) { c.start(receiver); c.run(400 * ms); c.start(receiver) },
		"giver restarts":          func(c *cluster) { c.start(giver) },
		"both restart":            func(c *cluster) { c.start(receiver); c.start(giver) },
		"receiver pauses":         func(c *cluster) { c.pause(receiver, 5*time.Second) },
		"giver pauses":            func(c *cluster) { c.pause(giver, 5*time.Second) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, 1, 1)
			c.run(1500 * ms)
			c.wanted = []float64{1, 0, 0}
			c.run(time.Second)
			c.wanted = []float64{1, 1, 1}
			lose(c)
			for range 60 {
				if got := c.totalShare(); got > 1+tolerance {
					t.Fatalf("shares of all instances: got %.3f, want 1 at the most", got)
				}
				c.run(tickInterval)
			}
			for i := range instances {
				if c.allocators[i] != nil && c.share(i) < homeShare-tolerance {
					t.Errorf("share of instance %d after three seconds: got %.2f, want %.2f", i, c.share(i), homeShare)
				}
			}
		})
	}
}

// The shares of all instances never exceed the quota, even if messages are lost,
// delayed, duplicated or reordered, instances restart, and clocks are hours apart
// with rates that are off by up to a tenth.
func TestSharesNeverExceedBudget(t *testing.T) {
	runsWithTransfer := 0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.91, 1.09)
		c := newCluster(rate.Draw(t, "rate a"), rate.Draw(t, "rate b"), rate.Draw(t, "rate c"))
		if rapid.Bool().Draw(t, "started long ago") {
			c.run(1500 * ms)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			c.randomStep(t)
			if got := c.totalShare(); got > 1+tolerance {
				t.Fatalf("shares of all instances: got %.4f, want 1 at the most", got)
			}
		}
		if c.anyReceived() {
			runsWithTransfer++
		}
	})
	if runsWithTransfer == 0 {
		t.Error("no run had a transfer")
	}
}

// randomStep performs one random step.
func (c *cluster) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, instances-1).Draw(t, "instance")
	switch step := rapid.IntRange(0, 11).Draw(t, "step"); {
	case step < 3:
		c.tick(i)
	case step < 7 && len(c.network) > 0:
		n := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
		c.deliver(n, rapid.IntRange(0, 4).Draw(t, "duplicated if 0") == 0)
	case step == 7 && len(c.network) > 0:
		c.dropMessage(rapid.IntRange(0, len(c.network)-1).Draw(t, "lost message"))
	case step == 8:
		c.wanted[i] = []float64{0, 0.1, 0.5, 1}[rapid.IntRange(0, 3).Draw(t, "wanted share")]
	case step == 9 && rapid.IntRange(0, 3).Draw(t, "restarts if 0") == 0:
		c.start(i)
	default:
		c.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
	}
}

const (
	// exploreEnv sets the depth of TestExploreOrders.
	exploreEnv      = "HITCHSPRING_EXPLORE"
	minExploreDepth = 5
	maxExploreDepth = 8
	// maxExploreNetwork is the maximum number of messages in transit; the oldest
	// messages beyond it are lost.
	maxExploreNetwork = 3
)

// orderExplorer visits all sequences of steps up to a depth.
type orderExplorer struct {
	t            *testing.T
	depth        int
	orders       int
	withTransfer int
}

func (e *orderExplorer) visit(c *cluster, path []int) {
	e.orders++
	if got := c.totalShare(); got > 1+tolerance {
		e.t.Fatalf("%v: shares of all instances: got %.4f, want 1 at the most", path, got)
	}
	if c.anyReceived() {
		e.withTransfer++
	}
	if len(path) == e.depth {
		return
	}
	for step := range fixedSteps + 2*len(c.network) {
		next := c.clone()
		next.step(step)
		if excess := len(next.network) - maxExploreNetwork; excess > 0 {
			next.network = next.network[excess:]
		}
		e.visit(next, append(path[:len(path):len(path)], step))
	}
}

// fixedSteps is the number of steps that are always possible.
const fixedSteps = 6

// step performs a step by its number. The fixed steps come first, then the delivery
// of each message, then the duplication of each message.
func (c *cluster) step(number int) {
	const receiver, giver = 0, 2
	switch number {
	case 0, 1:
		c.tick(number)
	case 2:
		c.now += 300 * ms
	case 3:
		c.now += 900 * ms
	case 4:
		c.start(giver)
	case 5:
		c.start(receiver)
	default:
		message, messages := number-fixedSteps, len(c.network)
		c.deliver(message%messages, message >= messages)
	}
}

// Two instances want the account and the third transfers its share. Explores every
// order of ticks, restarts, advances of the time, and messages that are delivered,
// duplicated or lost.
func TestExploreOrders(t *testing.T) {
	depth, _ := strconv.Atoi(os.Getenv(exploreEnv))
	e := &orderExplorer{t: t, depth: min(max(depth, minExploreDepth), maxExploreDepth)}
	c := newCluster(1, 1.09, 0.91)
	c.run(1100 * ms)
	c.wanted = []float64{1, 0.9, 0}
	c.network = nil
	e.visit(c, nil)
	t.Logf("%d orders of up to %d steps, with a transfer in %d", e.orders, e.depth, e.withTransfer)
	if e.withTransfer == 0 {
		t.Error("no order had a transfer")
	}
}
