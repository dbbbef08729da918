// Package version says which build a program is, by what the Go tool has stamped into it.
package version

import (
	"fmt"
	"runtime/debug"
)

// Text is one line: the program's name, the revision that it was built from and when that was made, and the Go version.
func Text(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + ", built without module information"
	}
	revision, when, changed := "an unknown revision", "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.time":
			when = " of " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	return fmt.Sprintf("%s %s%s%s, %s", program, revision, when, changed, info.GoVersion)
}
