package peers

import (
	"bufio"
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

// Errors of datagrams that are left aside.
var (
	ErrKey      = errors.New("no key opens it")
	errTooLarge = fmt.Errorf("larger than %d bytes", maxDatagramBytes)
	errNewer    = errors.New("only a later version can read it")
	errNoSender = errors.New("it names no sender")
)

const (
	minKeyBytes     = 16 // letters of a key
	maxKeys         = 2  // at a time: the one that seals, and the one before or after it
	maxKeyFileBytes = 4 << 10
)

// magic begins each datagram: the form of the seal, which is AES-256-GCM with a nonce drawn for each.
var magic = []byte{'h', 's', 'p', 1}

// Sealer seals with its first key and opens with any. It is safe for many goroutines.
type Sealer struct{ keys atomic.Pointer[[]cipher.AEAD] }

// NewSealer returns one with keys.
func NewSealer(keys []string) (*Sealer, error) {
	s := &Sealer{}
	return s, s.Set(keys)
}

// Set puts other keys in force; where they are not usable the old ones stay.
func (s *Sealer) Set(keys []string) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return fmt.Errorf("%d keys, 1 or %d are wanted", len(keys), maxKeys)
	}
	var all []cipher.AEAD
	for i, k := range keys {
		if len(k) < minKeyBytes {
			return fmt.Errorf("key %d has %d letters, %d at least are wanted", i+1, len(k), minKeyBytes)
		}
		sum := sha256.Sum256([]byte(k))
		block, err := aes.NewCipher(sum[:])
		if err != nil {
			return err
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return err
		}
		all = append(all, aead)
	}
	s.keys.Store(&all)
	return nil
}

// ReadKeys reads the keys of a file: one on a line, the first seals; empty lines and those that begin with # count for nothing.
func ReadKeys(file string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(text), maxKeyFileBytes)
	}
	var keys []string
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		if line := strings.TrimSpace(in.Text()); line != "" && line[0] != '#' {
			keys = append(keys, line)
		}
	}
	if _, err := NewSealer(keys); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return keys, nil
}

// Seal makes a datagram.
func (s *Sealer) Seal(plain []byte) []byte {
	aead := (*s.keys.Load())[0]
	n := len(magic) + aead.NonceSize()
	out := make([]byte, n, n+len(plain)+aead.Overhead())
	copy(out, magic)
	rand.Read(out[len(magic):])
	return aead.Seal(out, out[len(magic):], plain, magic)
}

// Open returns what a datagram holds, or ErrKey.
func (s *Sealer) Open(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return nil, ErrKey
	}
	for _, aead := range *s.keys.Load() {
		n := len(magic) + aead.NonceSize()
		if len(data) < n {
			continue
		}
		if plain, err := aead.Open(nil, data[len(magic):n], data[n:], magic); err == nil {
			return plain, nil
		}
	}
	return nil, ErrKey
}
