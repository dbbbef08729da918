package zonedrain

import (
	"context"
	"log/slog"
	"maps"
	"time"
)

// Watch reads the file at path every interval until ctx ends, and calls notify with the drained zones, each with the
// end of its drain, whenever they have changed. If the file can't be read, an error that repeats is logged once, and
// the drains that were last read stay active, each until its own end. Watch returns when ctx ends; it starts no
// goroutine.
func Watch(
	ctx context.Context, path string, interval time.Duration, notify func(map[string]time.Time), log *slog.Logger,
) {
	var notified map[string]time.Time
	loggedError := ""
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		list, err := Load(path, time.Now())
		switch {
		case err != nil && err.Error() != loggedError:
			loggedError = err.Error()
			log.Error("zone drain file rejected, keeping previous", "path", path, "err", err)
		case err == nil:
			loggedError = ""
			if active := list.Active(time.Now()); !maps.EqualFunc(active, notified, time.Time.Equal) {
				notified = active
				notify(active)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
