package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"

	"hitchspring/internal/override"
)

// overridesFile is the JSON format of the override file.
type overridesFile struct {
	Version   int                 `json:"version"`
	Listen    string              `json:"listen"`
	Overrides []override.Override `json:"words"`
}

// Save merges overrides into the override file that all processes of the instance share. When it returns nil, they have
// been synced to disk.
func (d *Dir) Save(overrides []override.Override) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	lock, err := os.OpenFile(d.base+overridesSuffix+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("override file: %w", err)
	}
	defer lock.Close()
	if err := flock(lock, syscall.LOCK_EX); err != nil {
		return fmt.Errorf("override file: %w", err)
	}
	merged := override.New()
	saved, err := d.readOverrides()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.log.Warn("override file unreadable, replacing it", "err", err)
	}
	merged.Merge(saved)
	merged.Merge(overrides)
	data, err := encodeOverrides(overridesFile{Version, d.listen, merged.All()})
	if err != nil {
		return err
	}
	return d.write(overridesSuffix, data)
}

// Overrides returns the stored overrides. It returns none if there is no override file or it is invalid.
func (d *Dir) Overrides() []override.Override {
	overrides, err := d.readOverrides()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.log.Warn("override file rejected", "err", err)
	}
	return overrides
}

func (d *Dir) readOverrides() ([]override.Override, error) {
	data, err := readFile(d.base + overridesSuffix)
	if err != nil {
		return nil, err
	}
	return decodeOverrides(data, d.listen)
}

// overridesVersion returns a string that changes whenever the override file is replaced, or "" if there is no file.
func (d *Dir) overridesVersion() string {
	info, err := os.Stat(d.base + overridesSuffix)
	if err != nil {
		return ""
	}
	inode := uint64(0)
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = stat.Ino
	}
	return fmt.Sprint(inode, info.ModTime().UnixNano(), info.Size())
}

func encodeOverrides(file overridesFile) ([]byte, error) {
	data, err := json.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("override file: %w", err)
	}
	return data, nil
}

// decodeOverrides decodes and validates an override file that was written for the given listen address.
func decodeOverrides(data []byte, listen string) ([]override.Override, error) {
	var file overridesFile
	if err := decodeStrict(data, &file); err != nil {
		return nil, fmt.Errorf("override file: %w", err)
	}
	if file.Version != Version {
		return nil, fmt.Errorf("override file: version is %d, want %d", file.Version, Version)
	}
	if file.Listen != listen {
		return nil, fmt.Errorf("override file: written by the ingress at %q, this one is at %q", file.Listen, listen)
	}
	for _, o := range file.Overrides {
		if o.ID == "" || o.At < 0 {
			return nil, fmt.Errorf("override file: invalid override of backend %q at time %v", o.ID, o.At)
		}
	}
	return file.Overrides, nil
}
