package peers

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/golden"
)

func TestGoldenDatagram(t *testing.T) {
	golden.RequireTags(t, "cbor", payload{})
	var p payload
	golden.Fill(&p)
	written, err := cbor.Marshal(&p)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "datagram", written)
	var read payload
	if err := cbor.Unmarshal(golden.Read(t, "datagram"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, p) {
		t.Errorf("got %+v, want %+v", read, p)
	}
}

// A datagram sealed by an earlier version can be opened. Sealed bytes are not compared as a whole because each seal
// uses a new random nonce.
func TestGoldenSeal(t *testing.T) {
	s, err := NewSealer([]string{"a key of sixteen letters"})
	if err != nil {
		t.Fatal(err)
	}
	plain := []byte("a datagram")
	sealed := s.Seal(plain)
	if golden.Updating() {
		golden.Compare(t, "sealed", sealed)
	}
	if !bytes.HasPrefix(sealed, golden.Read(t, "sealed")[:len(magic)]) {
		t.Errorf("got %x, want the prefix %x", sealed, golden.Read(t, "sealed")[:len(magic)])
	}
	if got, err := s.Open(golden.Read(t, "sealed")); err != nil || !bytes.Equal(got, plain) {
		t.Errorf("got %q, %v, want %q", got, err, plain)
	}
}

func TestGoldenStatus(t *testing.T) {
	golden.RequireTags(t, "json", Status{})
	var s Status
	golden.Fill(&s)
	written, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "status", written)
}
