package handover

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchspring/internal/override"
)

const (
	maxProcesses   = 4                      // of one instance at one time: old ones that end, and the next
	watchInterval  = 100 * time.Millisecond // between two looks for other processes and for new overrides
	slotAttempts   = 20                     // another process that looks at a slot holds its lock for a moment
	slotRetryPause = 5 * time.Millisecond
	lockRetryPause = 4 * time.Millisecond
)

// The suffixes of the files' names. Processes of different versions find each other by them.
const (
	slotSuffix      = ".slot"  // and a number: locked by one process as long as it runs
	lockSuffix      = ".baton" // locked by the process that hands over or takes over
	stateSuffix     = ".state"
	overridesSuffix = ".words"
)

// Dir is the directory that the processes of one instance share, as one of them uses it. Its methods may be called by
// many goroutines, except Watch, which one goroutine runs. Close releases its locks, as the end of the process does.
type Dir struct {
	base       string // path of the files, without their suffixes
	listen     string // address of the instance
	log        *slog.Logger
	slot       *os.File // locked
	slotNumber int
	// syncDirectory is the function of that name, but in tests.
	syncDirectory func(path string) error

	mu   sync.Mutex // guards lock, and the override file within this process
	lock *os.File   // of Lock; nil: not held

	watchedVersion string // of the override file that Watch has reported last
}

// Open takes a slot among the processes of the instance at an address. It returns an error if all slots are taken.
func Open(dir, listen string, log *slog.Logger) (*Dir, error) {
	d := &Dir{
		base:          filepath.Join(dir, "hitchspring-"+fileName(listen)),
		listen:        listen,
		log:           log,
		syncDirectory: syncDirectory,
	}
	for range slotAttempts {
		for number := range maxProcesses {
			slot, err := os.OpenFile(d.slotPath(number), os.O_CREATE|os.O_RDWR, 0o600)
			if err != nil {
				return nil, fmt.Errorf("handover: %w", err)
			}
			if flock(slot, syscall.LOCK_EX|syscall.LOCK_NB) == nil {
				d.slot, d.slotNumber = slot, number
				return d, nil
			}
			slot.Close()
		}
		time.Sleep(slotRetryPause)
	}
	return nil, fmt.Errorf("handover: %d processes of the ingress at %s are there already", maxProcesses, listen)
}

// fileName returns an address with each character replaced that a file's name should not have.
func fileName(listen string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r == '.' {
			return r
		}
		return '_'
	}, strings.ToLower(listen))
}

func (d *Dir) slotPath(number int) string { return fmt.Sprintf("%s%s%d", d.base, slotSuffix, number) }

// Close releases the slot, and the lock if it is held.
func (d *Dir) Close() {
	d.Unlock()
	d.slot.Close()
}

// SiblingCount returns how many other processes of this instance run. It goes by their locks, which the kernel releases
// when a process ends.
func (d *Dir) SiblingCount() (n int) {
	for number := range maxProcesses {
		if number == d.slotNumber {
			continue
		}
		slot, err := os.Open(d.slotPath(number))
		if err != nil {
			continue
		}
		if flock(slot, syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			n++
		}
		slot.Close()
	}
	return n
}

// Lock waits for the lock that one process holds at a time, or for ctx's end, whose error it returns.
func (d *Dir) Lock(ctx context.Context) error {
	lock, err := os.OpenFile(d.base+lockSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	for flock(lock, syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		select {
		case <-ctx.Done():
			lock.Close()
			return ctx.Err()
		case <-time.After(lockRetryPause):
		}
	}
	d.mu.Lock()
	d.lock = lock
	d.mu.Unlock()
	return nil
}

// Unlock releases the lock, if it is held.
func (d *Dir) Unlock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lock != nil {
		d.lock.Close()
		d.lock = nil
	}
}

// Watch calls siblings with the number of other processes and overrides with those on file, at first and whenever they
// have changed, until ctx ends.
func (d *Dir) Watch(ctx context.Context, siblings func(int), overrides func([]override.Override)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastCount := -1
	for {
		if n := d.SiblingCount(); n != lastCount {
			lastCount = n
			siblings(n)
		}
		if version := d.overridesVersion(); version != d.watchedVersion {
			d.watchedVersion = version
			overrides(d.Overrides())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
