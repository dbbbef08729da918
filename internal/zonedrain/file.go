package zonedrain

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxFileSize = 64 << 10 // bytes
	fileMode    = 0o644

	fileHeader = "# Halls that are taken out on purpose." +
		" Written by hitchspring hall; read again by every instance within a second.\n"
)

// Parse decodes the text of a file; an error in any part rejects all of it. Errors are a single line and name the drain
// and its field. The end of each drain is checked against now.
func Parse(text []byte, now time.Time) (List, error) {
	if len(text) > maxFileSize {
		return List{}, fmt.Errorf("drills: larger than %d bytes", maxFileSize)
	}
	var list List
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&list); err != nil {
		return List{}, describeDecodeError(err)
	}
	if err := list.checkCount(); err != nil {
		return List{}, err
	}
	for i, d := range list.Drains {
		if err := d.check(now); err != nil {
			return List{}, fmt.Errorf("drill[%d].%w", i, err)
		}
	}
	return list, nil
}

// describeDecodeError returns a decoder's error as a single line. For an unknown key it names the key and its line
// number.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		row, _ := unknown.Position()
		return fmt.Errorf("drills: line %d: %s: no such key", row, strings.Join(unknown.Key(), "."))
	}
	return fmt.Errorf("drills: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// Load reads a file. A file that doesn't exist means no drains. An empty file is an error, since it may be only partly
// written. To end all drains, operators remove the file or leave just a comment in it.
func Load(path string, now time.Time) (List, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return List{}, nil
	}
	if err != nil {
		return List{}, fmt.Errorf("drills: %w", err)
	}
	if len(text) == 0 {
		return List{}, fmt.Errorf("%s: drills: the file is empty", path)
	}
	list, err := Parse(text, now)
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// Save replaces the file atomically: a concurrent reader sees either the old or the new file, complete.
func (l List) Save(path string) error {
	var text bytes.Buffer
	text.WriteString(fileHeader)
	if err := toml.NewEncoder(&text).Encode(l); err != nil {
		return fmt.Errorf("drills: %w", err)
	}
	if err := replaceFile(path, text.Bytes()); err != nil {
		return fmt.Errorf("drills: %w", err)
	}
	return nil
}

// replaceFile writes content to a temporary file in the same directory, and renames it to path once it is synced to
// disk.
func replaceFile(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".drills-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	_, err = file.Write(content)
	err = errors.Join(err, file.Chmod(fileMode), file.Sync(), file.Close())
	if err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}
