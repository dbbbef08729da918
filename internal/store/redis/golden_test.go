package redis

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"hitchspring/internal/golden"
	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
)

// Instances of different versions share one Redis, so the keys, the hash fields and the script must not change.
func TestGoldenCommands(t *testing.T) {
	opt := Options{Address: "127.0.0.1:1", Prefix: "hitchspring", Shards: 3}
	c, err := New(opt, slog.New(slog.DiscardHandler), func(*store.Call, store.Result) {})
	if err != nil {
		t.Fatal(err)
	}
	write := ledger.Write{Name: "0000000000000001/p", FirstSeq: 35, Seq: 7, Sum: -42, TTL: 1500 * time.Millisecond}
	var commands bytes.Buffer
	for _, s := range c.shards {
		for _, sendScript := range []bool{false, true} {
			commands.Write(appendAdd(nil, s.keyPrefix, "00112233aabbccdd", write, sendScript))
		}
	}
	golden.Compare(t, "commands", commands.Bytes())
}
