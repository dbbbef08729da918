package handover

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// write puts a complete file into the directory and syncs it, or leaves the previous one.
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
	if dir, err := os.Open(filepath.Dir(d.base)); err == nil { // the rename should be on the disk, too
		_ = dir.Sync()
		dir.Close()
	}
	return nil
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
