package handover

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// write puts a complete file into the directory and syncs both, or returns an error. The previous file is left unless
// the error is that of syncing the directory: then the new one is in its place, and may be gone after a crash.
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
		return fmt.Errorf("handover: file not surely on the disk: %w", err)
	}
	return nil
}

// syncDirectory has the directory's entries on the disk. File systems that can't sync a directory keep them in their
// own way.
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

// readFile reads a file, up to one byte more than it may have.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

// flock locks a file, also when signals interrupt the call.
func flock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
