package lab

import (
	"os"
	"strings"
	"testing"
	"time"
)

// dying is what a program is given that kills itself at a step of a piece of work, the twelfth time that it comes there after it has run for
// three seconds.
const dying = `
var dyingCame atomic.Int32
var dyingFrom = time.Now().Add(3 * time.Second)

// dies ends this process as SIGKILL does, after what is to be done before and a while in which what was sent is on its way.
func dies(after time.Duration, before ...func()) {
	if time.Now().Before(dyingFrom) {
		return
	}
	if dyingCame.Add(1) == 12 {
		for _, do := range before {
			do()
		}
		time.Sleep(after)
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
}
`

// crashStep is a step of a piece of work at which an instance is killed.
type crashStep struct {
	edits []edit
	loss  bool // another instance is killed, so that there is something to take over
}

// crashSteps are all steps, by name, with the edits that make the program kill itself there.
func crashSteps() map[string]crashStep {
	const takeover, core, operate, nodes = "internal/core/takeover.go", "internal/core/core.go", "internal/core/operate.go", "internal/backend/conn.go"
	first := func(file string) []edit {
		imports := "	\"os\"\n	\"syscall\"\n"
		if file != takeover {
			imports += "	\"sync/atomic\"\n"
		}
		return []edit{{file, "import (\n", "import (\n" + imports}}
	}
	keyed := "r.IdempotencyKey != \"\""
	return map[string]crashStep{
		"the owner, accepted":                  {append(first(takeover), edit{takeover, "takeover.ScopeNone, r.GiveUpAt)\n	c.drainCoordinator()\n", "takeover.ScopeNone, r.GiveUpAt)\n	c.drainCoordinator()\n	dies(3 * time.Millisecond)\n"}), false},
		"the owner, intent sent":               {append(first(takeover), edit{takeover, "	c.drainCoordinator()\n	return true\n}\n\n// queryOutcome", "	c.drainCoordinator()\n	dies(3 * time.Millisecond)\n	return true\n}\n\n// queryOutcome"}), false},
		"the owner, acknowledged and not sent": {append(first(takeover), edit{takeover, "		c.takeover.coordinator.AttemptSent(c.now, r.ClientID)\n", "		dies(0)\n		c.takeover.coordinator.AttemptSent(c.now, r.ClientID)\n"}), false},
		"the owner, half of a command written": {[]edit{
			{nodes, "import (\n", "import (\n	\"bytes\"\n	\"os\"\n"},
			{nodes, "			n, err := c.nc.Write(j.buf)\n", "			if bytes.Contains(j.buf, []byte(\",k=\")) {\n				dies(3*time.Millisecond, func() { c.nc.Write(j.buf[:len(j.buf)/2]) })\n			}\n			n, err := c.nc.Write(j.buf)\n"},
		}, false},
		"the owner, written and not answered":        {append(first(takeover), edit{takeover, "		c.startAttempt(r, w, r.pending.backend)\n", "		c.startAttempt(r, w, r.pending.backend)\n		dies(3 * time.Millisecond)\n"}), false},
		"the owner, answer read and not told":        {append(first(core), edit{core, "	if o == policy.Succeeded && !r.finished {\n", "	if o == policy.Succeeded && !r.finished {\n		if " + keyed + " {\n			dies(0)\n		}\n"}), false},
		"the owner, told and not recorded":           {append(first(operate), edit{operate, "	c.completeWork(r, a)\n	end := metrics.Errored\n", "	if a.Kind == Served && " + keyed + " {\n		dies(3*time.Millisecond, func() { r.Sink.Deliver(a) })\n	}\n	c.completeWork(r, a)\n	end := metrics.Errored\n"}), false},
		"the owner, recorded and not told":           {append(first(operate), edit{operate, "	c.completeWork(r, a)\n	end := metrics.Errored\n", "	c.completeWork(r, a)\n	if a.Kind == Served && " + keyed + " {\n		dies(3 * time.Millisecond)\n	}\n	end := metrics.Errored\n"}), false},
		"the keeper, heard and not written":          {append(first(takeover), edit{takeover, "	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n", "	if m.Intent != nil {\n		dies(0)\n	}\n	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n"}), false},
		"the keeper, written and not replied":        {append(first(takeover), edit{takeover, "	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n", "	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n	if m.Intent != nil {\n		dies(0)\n	}\n"}), false},
		"the keeper, end heard and not acknowledged": {append(first(takeover), edit{takeover, "	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n", "	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n	if m.Completion != nil {\n		dies(0)\n	}\n"}), false},
		"the taker, before it begins":                {append(first(takeover), edit{takeover, "	c.takeover.byAttempt[t.Attempt] = r\n	c.requests[r.ID] = r\n	c.requestBytes += r.Size\n", "	c.takeover.byAttempt[t.Attempt] = r\n	c.requests[r.ID] = r\n	c.requestBytes += r.Size\n	dyingCame.Store(11)\n	dies(0)\n"}), true},
		"the taker, sent and not answered":           {append(first(core), edit{core, "	c.backends.Start(a, to)\n}\n\n// attemptEnded", "	c.backends.Start(a, to)\n	if r.Sink == (takenOverSink{}) {\n		dyingCame.Store(11)\n		dies(3 * time.Millisecond)\n	}\n}\n\n// attemptEnded"}), true},
	}
}

// requireEditsApply fails the test for each edit that doesn't find its one place in the source as it is.
func requireEditsApply(t *testing.T, name string, edits ...edit) {
	t.Helper()
	for _, e := range edits {
		source, err := os.ReadFile("../../" + e.file)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(source), e.find); n != 1 {
			t.Errorf("%s: %s: got %d places, want one, for %q", name, e.file, n, e.find)
		}
	}
}

// The edits of the trials find their places also where the trials themselves are not played.
func TestPlantedEditsApply(t *testing.T) {
	for name, step := range crashSteps() {
		requireEditsApply(t, name, step.edits...)
	}
	requireEditsApply(t, "whole spaces", wholeSpaces()...)
	next, before, later := versionEdits()
	requireEditsApply(t, "next version", next...)
	requireEditsApply(t, "version before", before...)
	requireEditsApply(t, "later version", later...)
}

// An instance that dies at each step of a piece of work, as its owner, as its keeper, or as the one that takes it over: by what nodes and clients
// saw no key has two effects, none has two answers, and each rule is kept.
func TestKilledAtEachStep(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // 78 processes, and as many builds as steps
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	now, err := program()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range crashSteps() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			last := lastLine(t, c.edits[0].file)
			edits := append(c.edits, edit{c.edits[0].file, last, last + dying})
			cfg := peersConfig(t, 6, "fleet:slow 5 2s at 3s")
			if c.loss {
				cfg.Faults = append(cfg.Faults, "ingress/1:kill at 4s", "ingress/2:kill at 4500ms")
			}
			cfg.Ingress, cfg.Mixed, cfg.Mortal = "", []string{planted(t, edits...), now, now, now, now, now}, []int{0}
			cfg.Takeover, cfg.For, cfg.Rate = true, 9*time.Second, 1
			r := play(t, cfg)
			holds(t, r)
			if len(r.Died) == 0 {
				t.Fatalf("seed %d: the step was never reached", r.Seed)
			}
			doubled, helped, lost := 0, 0, 0
			for _, w := range r.Keyed {
				if w.Effects > 1 {
					doubled++
					t.Log(w)
				}
				if w.Lost {
					lost++
					if w.Helped > 0 {
						helped++
					}
				}
			}
			t.Logf("%d keyed wishes, %d lost their first try's answer, %d of them were helped", len(r.Keyed), lost, helped)
			if broken := CheckHistory(r.History); len(broken) > 0 || doubled > 0 {
				t.Errorf("seed %d: %d with two effects, %v", r.Seed, doubled, broken)
			}
		})
	}
}

// lastLine is the end of a source file, after which more can be written: its last function.
func lastLine(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile("../../" + file)
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	for n := 40; n < len(text); n += 20 {
		if tail := text[len(text)-n:]; strings.Count(text, tail) == 1 {
			return tail
		}
	}
	t.Fatal("no end of " + file)
	return ""
}
