package handover

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// write atomically replaces a file and syncs both the file and the directory. After an error the previous file is
// unchanged, unless syncing the directory failed: then the new file is in place, but may be lost in a crash.
func (d *Dir) write(suffix string, data []byte) error {
	temporary := fmt.Sprintf("%s%s.%d", d.base, suffix, d.slotNumber)
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(temporary, d.base+suffix)
	}
	if err != nil {
		os.Remove(temporary)
		return fmt.Errorf("handover: %w", err)
	}
	if err := d.syncDirectory(filepath.Dir(d.base)); err != nil {
		return fmt.Errorf("handover: directory not synced, file may be lost in a crash: %w", err)
	}
	return nil
}

// syncDirectory flushes the directory's entries to disk. It ignores the errors of file systems that do not support
// syncing a directory.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	err = dir.Sync()
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	return err
}

// readFile reads a file, up to one byte beyond maxFileBytes so that callers can detect a file that is too large.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

// flock locks a file. It retries when a signal interrupts the call.
func flock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
