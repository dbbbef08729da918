package zonedrain

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Watch notifies once of each change, including the end of a drain. An invalid file is logged once and changes nothing.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drills.toml")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var notified []int // number of drained zones, at each call
		var logged bytes.Buffer
		done := make(chan struct{})
		go func() {
			defer close(done)
			Watch(ctx, path, 500*time.Millisecond, func(active map[string]time.Time) {
				mu.Lock()
				defer mu.Unlock()
				notified = append(notified, len(active))
			}, slog.New(slog.NewTextHandler(&logged, nil)))
		}()
		write := func(text string) {
			t.Helper()
			err := errors.Join(os.WriteFile(path+".new", []byte(text), 0o600), os.Rename(path+".new", path))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(time.Second)
		until := time.Now().Add(10 * time.Second).UTC().Format(time.RFC3339)
		valid := "[[drill]]\nhall = \"hall-a\"\nuntil = " + until
		write(valid)
		write("") // as by an editor that empties the file before it writes
		write("")
		write(valid)
		time.Sleep(10 * time.Second) // past the end of the drain
		os.Remove(path)
		time.Sleep(time.Second)
		cancel()
		<-done
		if want := []int{1, 0}; !slices.Equal(notified, want) {
			t.Errorf("got calls with %v zones, want %v", notified, want)
		}
		if n := strings.Count(logged.String(), "zone drain file rejected, keeping previous"); n != 1 {
			t.Errorf("got %d log lines, want 1: %s", n, logged.String())
		}
	})
}
