// Package review has the cases of the independent review. It is a module of its own, so that they stay out of the
// default test run: build with the deploy file's command and build.sh, then go test -count=1 -v in this folder.
package review

import (
	"errors"
	"os/exec"
	"testing"
)

// run runs a command in a folder. The command exits with 1 if the rule was broken.
func run(t *testing.T, folder, command string) {
	t.Helper()
	cmd := exec.Command(command)
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
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

// A late second answer must not be served to another request.
func TestReviewLateSecondAnswerIsNotServed(t *testing.T) { run(t, "1", "./run.sh") }

// Commands with very many names must not take an ingress over its memory limit.
func TestReviewManyNamesStayWithinMemoryLimit(t *testing.T) { run(t, "2", "./run.sh") }

// Answers that wait for an earlier one of their connection must not cost the connection.
func TestReviewAnswersBehindAnEarlierOneAreNotLost(t *testing.T) { run(t, "3", "./run.sh") }

// Long request bodies must not take an ingress over its memory limit.
func TestReviewLongBodiesStayWithinMemoryLimit(t *testing.T) { run(t, "earlier-1", "./run.sh") }

// A long value whose length is too low must not be served as whole.
func TestReviewLongValueOfWrongLengthIsNotServed(t *testing.T) { run(t, "earlier-3", "./run.sh") }

// A long value that its backend writes slowly must not be cut off.
func TestReviewSlowLongValueIsNotCutOff(t *testing.T) { run(t, "1", "../bin/longvalue") }

// Commands that are refused as fast as they come must not take an ingress over its memory limit.
func TestReviewRefusedCommandsStayWithinMemoryLimit(t *testing.T) { run(t, "1", "../bin/turnedaway") }

// A planned restart must not cut off an answer that its client reads slowly.
func TestReviewRestartDoesNotCutOffASlowReader(t *testing.T) { run(t, "1", "../bin/crossing") }

// Nothing may be sent for a client that has closed its connection, however much of it is unread.
func TestReviewNothingIsSentForAClientThatHasGone(t *testing.T) { run(t, "1", "../bin/gone") }
