package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration whose text is written as in Go, for example "3s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration", text)
	}
	*d = Duration(value)
	return nil
}

// Decode decodes a TOML text into a struct and rejects unknown keys. Errors begin with subject and name the line.
func Decode(subject string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknownKeys *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0:
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s, line %d: unknown key %q", subject, line, strings.Join(first.Key(), "."))
	case errors.As(err, &decodeError):
		line, _ := decodeError.Position()
		return fmt.Errorf("%s, line %d: %s", subject, line, strings.TrimPrefix(decodeError.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", subject, err)
}
