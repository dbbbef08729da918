package peers

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync/atomic"
)

const (
	minKeyBytes = 16
	maxKeys     = 2 // the one that seals, and the one before or after it while keys change
)

// magic begins each datagram and names the form of the seal: AES-256-GCM with a
// random nonce.
var magic = []byte{'h', 's', 'p', 1}

// Sealer encrypts and authenticates datagrams. It seals with its first key and
// opens with any. It is safe for concurrent use.
type Sealer struct {
	ciphers atomic.Pointer[[]cipher.AEAD] // one for each key, in their order
}

// NewSealer returns a sealer with one or two keys.
func NewSealer(keys []string) (*Sealer, error) {
	s := &Sealer{}
	return s, s.Set(keys)
}

// Set replaces the keys. If it returns an error the previous ones stay.
func (s *Sealer) Set(keys []string) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return fmt.Errorf("%d keys, 1 or %d are wanted", len(keys), maxKeys)
	}
	var ciphers []cipher.AEAD
	for i, key := range keys {
		if len(key) < minKeyBytes {
			return fmt.Errorf("key %d has %d letters, %d at least are wanted", i+1, len(key), minKeyBytes)
		}
		aead, err := newCipher(key)
		if err != nil {
			return err
		}
		ciphers = append(ciphers, aead)
	}
	s.ciphers.Store(&ciphers)
	return nil
}

func newCipher(key string) (cipher.AEAD, error) {
	hash := sha256.Sum256([]byte(key))
	block, err := aes.NewCipher(hash[:])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// Seal returns the datagram that holds some bytes.
func (s *Sealer) Seal(plain []byte) []byte {
	aead := (*s.ciphers.Load())[0]
	headerBytes := len(magic) + aead.NonceSize()
	datagram := make([]byte, headerBytes, headerBytes+len(plain)+aead.Overhead())
	copy(datagram, magic)
	nonce := datagram[len(magic):]
	_, _ = rand.Read(nonce) // never fails
	return aead.Seal(datagram, nonce, plain, magic)
}

// Open returns what a datagram holds, or ErrKey.
func (s *Sealer) Open(datagram []byte) ([]byte, error) {
	if !bytes.HasPrefix(datagram, magic) {
		return nil, ErrKey
	}
	for _, aead := range *s.ciphers.Load() {
		headerBytes := len(magic) + aead.NonceSize()
		if len(datagram) < headerBytes {
			continue
		}
		nonce, sealed := datagram[len(magic):headerBytes], datagram[headerBytes:]
		if plain, err := aead.Open(nil, nonce, sealed, magic); err == nil {
			return plain, nil
		}
	}
	return nil, ErrKey
}
