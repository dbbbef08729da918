package lab

import (
	"os"
	"strings"
	"testing"
	"time"
)

// crashCode is added to a program that kills itself at a step of keyed work: the twelfth time it reaches the step,
// counted from three seconds after its start.
const crashCode = `
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

// crashStep is a step of keyed work at which an instance is killed.
type crashStep struct {
	edits      []sourceEdit
	killOthers bool // other instances are killed too, so that there is work to take over
}

// crashSteps returns all steps by name, with the source edits that make the program kill itself there.
func crashSteps() map[string]crashStep {
	const (
		replication = "internal/core/replication.go"
		actions     = "internal/core/takeover_actions.go"
		members     = "internal/core/members.go"
		attempts    = "internal/core/attempts.go"
		requests    = "internal/core/request.go"
		conn        = "internal/backend/conn.go"
	)
	// in returns the step for one place in a source file: find is replaced there.
	in := func(file, find, replace string) crashStep {
		imports := sourceEdit{file, "import (\n", "import (\n\t\"os\"\n\t\"sync/atomic\"\n\t\"syscall\"\n"}
		return crashStep{edits: []sourceEdit{imports, {file, find, replace}}}
	}
	lossOf := func(step crashStep) crashStep {
		step.killOthers = true
		return step
	}
	const (
		keyed    = "r.IdempotencyKey != \"\""
		intent   = "\tif m.Intent != nil {\n\t\tdies(0)\n\t}\n"
		ended    = "\tif m.Completion != nil {\n\t\tdies(0)\n\t}\n"
		dieSoon  = "dies(3 * time.Millisecond)\n"
		accepted = "takeover.ScopeNone, r.GiveUpAt)\n\tc.drainCoordinator()\n"
		waiting  = "\tc.drainCoordinator()\n"
		awaited  = "\treturn true\n}\n\n// scopeOf"
		sending  = "\tc.takeover.coordinator.AttemptSent(c.now, r.ClientID)\n"
		started  = "\tc.startAttempt(r, attempt, w.backend)\n"
		answered = "\tif outcome == policy.Succeeded && !r.finished {\n"
		complete = "\tc.completeWork(r, a)\n"
		counted  = "\tend := metrics.Errored\n"
		receive  = "\tc.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)\n"
		resumed  = "\tc.takeover.byAttempt[work.Attempt] = r\n\tc.requests[r.ID] = r\n"
		launched = "\tc.backends.Start(attempt, to)\n"
		launches = "}\n\n// attemptEnded"
		write    = "\t\t\terr := c.writePieces(pending.command)\n"
	)
	return map[string]crashStep{
		"the owner, accepted":                  in(replication, accepted, accepted+"\t"+dieSoon),
		"the owner, intent sent":               in(replication, waiting+awaited, waiting+"\t"+dieSoon+awaited),
		"the owner, acknowledged and not sent": in(actions, sending, "\tdies(0)\n"+sending),
		"the owner, half of a command written": {edits: []sourceEdit{
			{conn, "import (\n", "import (\n\t\"bytes\"\n\t\"os\"\n"},
			{conn, write, "\t\t\tif first := pending.command[0]; bytes.Contains(first, []byte(\",k=\")) {\n" +
				"\t\t\t\tdies(3*time.Millisecond, func() { c.nc.Write(first[:len(first)/2]) })\n\t\t\t}\n" + write},
		}},
		"the owner, written and not answered": in(actions, started, started+"\t"+dieSoon),
		"the owner, answer read and not told": in(attempts, answered,
			answered+"\t\tif "+keyed+" {\n\t\t\tdies(0)\n\t\t}\n"),
		"the owner, told and not recorded": in(requests, complete+counted,
			"\tif a.Kind == Served && "+keyed+" {\n"+
				"\t\tdies(3*time.Millisecond, func() { r.Sink.Deliver(a) })\n\t}\n"+complete+counted),
		"the owner, recorded and not told": in(requests, complete+counted,
			complete+"\tif a.Kind == Served && "+keyed+" {\n\t\t"+dieSoon+"\t}\n"+counted),
		"the keeper, heard and not written":          in(members, receive, intent+receive),
		"the keeper, written and not replied":        in(members, receive, receive+intent),
		"the keeper, end heard and not acknowledged": in(members, receive, receive+ended),
		"the taker, before it begins": lossOf(in(actions, resumed,
			resumed+"\tdyingCame.Store(11)\n\tdies(0)\n")),
		"the taker, sent and not answered": lossOf(in(attempts, launched+launches,
			launched+"\tif r.Sink == (takenOverSink{}) {\n\t\tdyingCame.Store(11)\n\t\t"+dieSoon+"\t}\n"+launches)),
	}
}

// requireEditsApply fails the test for each edit whose text does not occur exactly once in the source.
func requireEditsApply(t *testing.T, name string, edits ...sourceEdit) {
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

// Checks that the source edits still apply, also where the tests that build edited programs are skipped.
func TestSourceEditsApply(t *testing.T) {
	for name, step := range crashSteps() {
		requireEditsApply(t, name, step.edits...)
	}
	requireEditsApply(t, "whole spaces", fullCapacityEdits()...)
	next, before, later := versionEdits()
	requireEditsApply(t, "next version", next...)
	requireEditsApply(t, "version before", before...)
	requireEditsApply(t, "later version", later...)
}

// Kills an instance at each step of keyed work, as its owner, as a replica, or as the successor that takes it over. No
// key may have two effects or two different answers, and no rule may be violated.
func TestCrashAtEachStep(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // runs 78 processes, and builds one program per step
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
			edits := append(c.edits, sourceEdit{c.edits[0].file, last, last + crashCode})
			cfg := peersConfig(t, 6, "fleet:slow 5 2s at 3s")
			if c.killOthers {
				cfg.Faults = append(cfg.Faults, "ingress/1:kill at 4s", "ingress/2:kill at 4500ms")
			}
			cfg.Ingress, cfg.Programs, cfg.MayExit = "", []string{buildEdited(t, edits...), now, now, now, now, now}, []int{0}
			cfg.Takeover, cfg.For, cfg.Rate = true, 9*time.Second, 1
			r := runUntilOnTime(t, cfg)
			requireRules(t, r)
			if len(r.Died) == 0 {
				t.Fatalf("seed %d: the step was never reached", r.Seed)
			}
			twoEffects, takenOver, lost := 0, 0, 0
			for _, request := range r.KeyedRequests {
				if request.Effects > 1 {
					twoEffects++
					t.Log(request)
				}
				if request.FirstUnanswered {
					lost++
					if request.OtherInstanceAt > 0 {
						takenOver++
					}
				}
			}
			t.Logf("%d keyed requests, %d without an answer to the first attempt, %d of these handled by another instance", len(r.KeyedRequests), lost, takenOver)
			if violations := CheckHistory(r.History); len(violations) > 0 || twoEffects > 0 {
				t.Errorf("seed %d: %d keys with two effects, %v", r.Seed, twoEffects, violations)
			}
		})
	}
}

// lastLine returns the shortest end of a source file that occurs once, to append code after it.
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
	t.Fatal("no unique end of " + file)
	return ""
}
