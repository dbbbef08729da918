// Command second runs one case of the second review. It exits with 1 if the rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// caseLimit bounds a run of a case; the scripts may take 120 s.
const caseLimit = 110 * time.Second

// A caseFunc runs a case; trouble is false for the run without the disruption. It tells whether the rule was broken.
type caseFunc func(rec *Record, root string, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"gone":  goneBehindBurst,
	"drain": drainWithPipelining,
	"flood": answersBesideFlood,
	"value": answersBehindBrokenValue,
	"head":  longValueInPieces,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "flooders" {
		flooders(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE ROOT RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, os.Args[2], trouble)
	status := 0
	switch {
	case err != nil:
		rec.Say("could not run: %v", err)
		status = 2
	case broken:
		rec.Say("the rule was BROKEN")
		status = 1
	default:
		rec.Say("the rule held")
	}
	rec.Close()
	os.Exit(status)
}

// started has all processes that the case has started, and its temporary folders.
var started struct {
	mu      sync.Mutex
	all     []*Process
	folders []string
}

// endEarly ends the case and its processes on a signal or at the limit.
func endEarly(rec *Record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		rec.Say("could not run: %v", s)
	case <-time.After(caseLimit):
		rec.Say("could not run: not over after %v", caseLimit)
	}
	started.mu.Lock()
	for _, p := range started.all {
		p.Kill()
	}
	for _, folder := range started.folders {
		os.RemoveAll(folder)
	}
	rec.Close()
	os.Exit(2)
}
