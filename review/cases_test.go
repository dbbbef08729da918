// Package review has the cases of the independent review. It is a module of its own, so that they stay out of the
// default test run: build with the deploy file's command and build.sh, then go test -count=1 -v in this folder.
package review

import (
	"errors"
	"os/exec"
	"testing"
)

// runCase runs a case's script, which exits with 1 if the rule was broken.
func runCase(t *testing.T, folder string) {
	t.Helper()
	out, err := exec.Command("./" + folder + "/run.sh").CombinedOutput()
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

// Long request bodies must not take an ingress over its memory limit.
func TestReviewLongBodiesStayWithinMemoryLimit(t *testing.T) { runCase(t, "earlier-1") }

// A late second answer must not be served to another request.
func TestReviewLateSecondAnswerIsNotServed(t *testing.T) { runCase(t, "earlier-2") }

// A long value whose length is too low must not be served as whole.
func TestReviewLongValueOfWrongLengthIsNotServed(t *testing.T) { runCase(t, "earlier-3") }

// Commands with very many names must not take an ingress over its memory limit.
func TestReviewManyNamesStayWithinMemoryLimit(t *testing.T) { runCase(t, "1") }

// Answers that wait for an earlier one of their connection must not cost the connection.
func TestReviewAnswersBehindAnEarlierOneAreNotLost(t *testing.T) { runCase(t, "2") }

// A long value that its backend writes slowly must not be cut off.
func TestReviewSlowLongValueIsNotCutOff(t *testing.T) { runCase(t, "3") }
