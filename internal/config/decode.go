package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decodeError converts an error of the TOML decoder to a one-line error that names the file and, where the decoder
// reports them, the line, the key and the text of that line.
func decodeError(path string, text []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("options %s:%d: %s: no such key", path, line, strings.Join(first.Key(), "."))
	}
	var malformed *toml.DecodeError
	if !errors.As(err, &malformed) {
		return fmt.Errorf("options %s: %s", path, oneLine(err.Error()))
	}
	line, _ := malformed.Position()
	source := sourceLine(text, line)
	key := strings.Join(malformed.Key(), ".")
	if key == "" {
		key, _, _ = strings.Cut(source, "=")
		key = strings.TrimSpace(key)
	}
	reason := oneLine(strings.TrimPrefix(malformed.Error(), "toml: "))
	return fmt.Errorf("options %s:%d: %s: %s in %q", path, line, key, reason, source)
}

// oneLine replaces the newlines of a text by spaces.
func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// sourceLine returns a line of the file without leading and trailing spaces. Lines count from 1; it returns the empty
// string for a line that does not exist.
func sourceLine(text []byte, number int) string {
	lines := strings.Split(string(text), "\n")
	if number < 1 || number > len(lines) {
		return ""
	}
	return strings.TrimSpace(lines[number-1])
}

// lineOf returns the line number of a key. It returns the line of the section header for a key that is not set, and 1
// if the section is not found either.
func lineOf(key string, text []byte) int {
	lines := keyLines(text)
	line := lines[key]
	if line == 0 {
		sectionName := key[:max(0, strings.LastIndexByte(key, '.'))]
		line = lines[sectionName]
	}
	return max(line, 1)
}

// keyLines returns the line number of each section and of each key, named section.key. It recognizes only section
// headers and key = value lines. Keys in other TOML syntax, such as inline tables, decode correctly but are not found
// here, so their errors name the line of the section or line 1.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	sectionName := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch key, _, isKey := strings.Cut(line, "="); {
		case strings.HasPrefix(line, "["):
			header, _, _ := strings.Cut(line, "#")
			sectionName = strings.Trim(header, "[] \t")
			lines[sectionName] = i + 1
		case isKey && !strings.HasPrefix(line, "#"):
			key = strings.TrimSpace(key)
			if sectionName != "" {
				key = sectionName + "." + key
			}
			lines[key] = i + 1
		}
	}
	return lines
}
