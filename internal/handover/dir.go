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
	maxProcesses   = 4                      // of one instance at a time: old ones that are ending, and the new one
	watchInterval  = 100 * time.Millisecond // between checks for sibling processes and for changed overrides
	slotAttempts   = 20                     // repeated, since other processes lock free slots briefly to count siblings
	slotRetryPause = 5 * time.Millisecond
	lockRetryPause = 4 * time.Millisecond
)

// Suffixes of the file names. They must stay the same in all versions, since processes of different versions find each
// other by them.
const (
	slotSuffix      = ".slot"  // followed by a number; locked by one process while it runs
	lockSuffix      = ".baton" // locked by the process that is handing over or taking over
	stateSuffix     = ".state"
	overridesSuffix = ".words"
)

// Dir gives one process access to the directory that the processes of an instance share. Its methods are safe for
// concurrent use, except Watch, which only one goroutine may run. Its locks are released by Close, or by the kernel
// when the process ends.
type Dir struct {
	base       string // path of the files without the suffix
	listen     string // listen address of the instance
	log        *slog.Logger
	slot       *os.File // locked slot file of this process
	slotNumber int
	// syncDirectory is the package's function syncDirectory, except in tests.
	syncDirectory func(path string) error

	mu   sync.Mutex // guards lock, and writes of the override file by this process
	lock *os.File   // lock file locked by Lock; nil if not held

	reportedVersion string // version of the override file that Watch reported last
}

// Open locks a free slot for this process of the instance at the given listen address. It returns an error if all slots
// are locked by other processes.
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
	return nil, fmt.Errorf("handover: %d processes of the ingress at %s are already running", maxProcesses, listen)
}

// fileName returns an address with all characters replaced that are unsuitable in a file name.
func fileName(listen string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r == '.' {
			return r
		}
		return '_'
	}, strings.ToLower(listen))
}

func (d *Dir) slotPath(number int) string { return fmt.Sprintf("%s%s%d", d.base, slotSuffix, number) }

// Close releases the slot, and the handover lock if it is held.
func (d *Dir) Close() {
	d.Unlock()
	d.slot.Close()
}

// SiblingCount returns the number of other running processes of this instance. It counts their slot locks, which the
// kernel releases when a process ends.
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

// Lock acquires the handover lock, which one process at a time can hold. It returns ctx's error if ctx is done first.
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

// Unlock releases the handover lock if it is held.
func (d *Dir) Unlock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lock != nil {
		d.lock.Close()
		d.lock = nil
	}
}

// Watch calls siblings with the number of sibling processes and overrides with the stored overrides, initially and
// whenever they have changed, until ctx is done. Without an override file, overrides is not called initially.
func (d *Dir) Watch(ctx context.Context, siblings func(int), overrides func([]override.Override)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastCount := -1
	for {
		if n := d.SiblingCount(); n != lastCount {
			lastCount = n
			siblings(n)
		}
		if version := d.overridesVersion(); version != d.reportedVersion {
			d.reportedVersion = version
			overrides(d.Overrides())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
