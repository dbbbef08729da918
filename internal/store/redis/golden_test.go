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

// Instances of different versions share one Redis: its keys, its fields and the script are the same for all of them.
func TestGoldenCommands(t *testing.T) {
	c, err := New(
		Options{Address: "127.0.0.1:1", Prefix: "hitchspring", Shards: 3},
		slog.New(slog.DiscardHandler),
		func(*store.Call, store.Result) {},
	)
	if err != nil {
		t.Fatal(err)
	}
	w := ledger.Write{Name: "0000000000000001/p", FirstSeq: 35, Seq: 7, Sum: -42, TTL: 1500 * time.Millisecond}
	var b bytes.Buffer
	for _, l := range c.shards {
		for _, byText := range []bool{false, true} {
			b.Write(appendAdd(nil, l.keyPrefix, "00112233aabbccdd", w, byText))
		}
	}
	golden.Compare(t, "commands", b.Bytes())
}
