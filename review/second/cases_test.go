// The cases of the second review have names here, for KNOWN-RED.txt. They are a module of their own, so that they stay out of
// the default test run: build with the deploy file's command and review/build-2.sh, then go test -count=1 -v in this folder.
package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs the script of a case, which exits with 1 if the rule was broken.
func runCase(t *testing.T, folder string) {
	t.Helper()
	script, err := filepath.Abs(filepath.Join("..", folder, "run.sh"))
	if err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(script).CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	default:
		t.Skip("the case could not run")
	}
}

// Commands behind a long value that breaks off must be answered.
func TestReviewCommandsBehindABrokenValueAreAnswered(t *testing.T) { runCase(t, "6") }

// Usual clients must be answered in time beside hundreds of bad clients at full speed.
func TestReviewUsualClientsAreAnsweredBesideAFlood(t *testing.T) { runCase(t, "7") }

// No attempt may begin for a client that has sent much at once and has gone.
func TestReviewNothingBeginsForAClientGoneBehindItsBurst(t *testing.T) { runCase(t, "8") }

// A drain by hand must end connections whose clients send without waiting for answers.
func TestReviewDrainEndsPipelinedConnections(t *testing.T) { runCase(t, "9") }

// A long value whose head comes in two pieces must not be cut off.
func TestReviewLongValueInPiecesIsNotCutOff(t *testing.T) { runCase(t, "10") }
