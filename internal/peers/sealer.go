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
	maxKeys     = 2 // during a key rotation: the current key and the previous or next one
)

// magic is the prefix of each datagram and identifies the encryption: AES-256-GCM
// with a random nonce.
var magic = []byte{'h', 's', 'p', 1}

// Sealer encrypts and authenticates datagrams. It encrypts with its first key and
// decrypts with any of them. It is safe for concurrent use.
type Sealer struct {
	ciphers atomic.Pointer[[]cipher.AEAD] // one for each key, in the same order
}

// NewSealer returns a sealer with one or two keys.
func NewSealer(keys []string) (*Sealer, error) {
	s := &Sealer{}
	return s, s.Set(keys)
}

// Set replaces the keys. If it returns an error, the previous keys stay in use.
func (s *Sealer) Set(keys []string) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return fmt.Errorf("%d keys, want 1 to %d", len(keys), maxKeys)
	}
	var ciphers []cipher.AEAD
	for i, key := range keys {
		if len(key) < minKeyBytes {
			return fmt.Errorf("key %d has %d bytes, want at least %d", i+1, len(key), minKeyBytes)
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

// Seal returns the datagram that contains plain in encrypted form.
func (s *Sealer) Seal(plain []byte) []byte {
	aead := (*s.ciphers.Load())[0]
	headerBytes := len(magic) + aead.NonceSize()
	datagram := make([]byte, headerBytes, headerBytes+len(plain)+aead.Overhead())
	copy(datagram, magic)
	nonce := datagram[len(magic):]
	_, _ = rand.Read(nonce) // documented never to return an error
	return aead.Seal(datagram, nonce, plain, magic)
}

// Open returns the decrypted content of a datagram, or ErrKey.
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
