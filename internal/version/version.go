// Package version tells which build a program is. It reads what the Go tool has
// stamped into the binary: the revision, its time, whether the source had
// uncommitted changes, and the version of Go. It needs no linker flags, and a
// build without that information says so.
package version

import (
	"fmt"
	"runtime/debug"
)

// Keys of the build settings, as the Go tool writes them.
const (
	revisionKey     = "vcs.revision"
	revisionTimeKey = "vcs.time"
	modifiedKey     = "vcs.modified"
)

// Text returns one line: the program's name, the revision that it was built from and the revision's time, and the
// version of Go.
func Text(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + ", built without module information"
	}
	revision := "an unknown revision"
	revisionTime := ""
	modified := ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case revisionKey:
			revision = setting.Value
		case revisionTimeKey:
			revisionTime = " of " + setting.Value
		case modifiedKey:
			if setting.Value == "true" {
				modified = ", changed since"
			}
		}
	}
	return fmt.Sprintf("%s %s%s%s, %s", program, revision, revisionTime, modified, info.GoVersion)
}
