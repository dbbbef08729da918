// Package version describes the build of the running program. It reads the build
// information that the go command embeds in the binary: the revision, its time,
// whether the source had uncommitted changes, and the Go version. It needs no
// linker flags. If the information is missing, the text says so.
package version

import (
	"fmt"
	"runtime/debug"
)

// Keys of the build settings in debug.BuildInfo.
const (
	revisionKey     = "vcs.revision"
	revisionTimeKey = "vcs.time"
	modifiedKey     = "vcs.modified"
)

// Text returns one line with the name of the program, the revision that it was built from, the time of the revision,
// and the Go version.
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
