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

// Parse reads the text of a file, all of it or none. Errors are one line and name the drain and its field. now bounds
// the end of each drain.
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

// describeDecodeError returns a decoder's error as one line, with the line and the key of an unknown key.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		row, _ := unknown.Position()
		return fmt.Errorf("drills: line %d: %s: no such key", row, strings.Join(unknown.Key(), "."))
	}
	return fmt.Errorf("drills: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// Load reads a file. One that doesn't exist holds no drain; one that is empty is an error, as it may be half written.
// To end all drains the file is removed, or holds a comment.
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

// Save writes a file in place of the old one: whoever reads it meanwhile sees one of the two, complete.
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

// replaceFile writes content to a temporary file in the same directory, and renames that to path once it is on disk.
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
