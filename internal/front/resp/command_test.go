package resp

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"pgregory.net/rapid"

	"hitchspring/internal/resp"
)

// protocolFields is a fields argument with the fields that every request has.
const protocolFields = "c=read,t=p,d=50000,units=1,spread=1,first=0"

// manyNames returns a valid fields argument of about so many bytes, nearly all of them
// different unknown names. Without protocolFields behind them it would lack a class.
func manyNames(size int) string {
	var list strings.Builder
	for i := 0; list.Len() < size-len(protocolFields); i++ {
		list.WriteString("x" + strconv.FormatInt(int64(i), 36) + "=,")
	}
	return list.String() + protocolFields
}

// allocatedBytes returns how many bytes a function allocates.
func allocatedBytes(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against commands of a few MiB with very many names, which took some fifteen
// times their own memory while they were parsed and ended an instance of 64 MB.
func TestParsingTakesLittleMoreMemoryThanTheCommand(t *testing.T) {
	front := New(nil, newManualCore(1), 1, 1<<20)
	lists := map[string]string{
		"the longest list that is accepted": manyNames(resp.MaxValueBytes - 16),
		"a list that is too long":           manyNames(resp.MaxLargeValueBytes - 16),
		"an invalid list of many names":     manyNames(resp.MaxValueBytes-32) + ",xa=",
	}
	for name, list := range lists {
		t.Run(name, func(t *testing.T) {
			encoded := []byte(encodeCommand("Q.ASK", "00000000b4d65521", "0000000000000001", list))
			_, args, _, _, err := redcon.ReadNextCommand(encoded, nil)
			if err != nil {
				t.Fatal(err)
			}
			allocated := allocatedBytes(func() { _, err = front.parseRequest(args, time.Now()) })
			// A copy for the request, one for the time of parsing, and offsets of the names.
			if limit := uint64(6 * resp.MaxValueBytes); allocated > limit {
				t.Errorf("parsing a command of %d bytes allocates %d bytes, want at most %d; its result is %v",
					len(encoded), allocated, limit, err)
			}
		})
	}
}

// Guards against a request record whose plan and key, kept until the client's deadline,
// keep the complete fields argument in memory after the answer.
func TestRequestDoesNotKeepTheFieldsInMemory(t *testing.T) {
	const requests = 200
	front := New(nil, newManualCore(1), 1, 1<<20)
	list := []byte(manyNames(resp.MaxValueBytes - 16))
	var plans, keys []string
	before := liveHeapBytes()
	for i := range requests {
		args := [][]byte{[]byte("Q.ASK"), []byte("00000000b4d65521"), fmt.Appendf(nil, "%016x", i), list}
		request, err := front.parseRequest(args, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, request.Plan, request.Class)
		keys = append(keys, request.IdempotencyKey)
	}
	if kept := liveHeapBytes() - before; kept > int64(requests*len(list)/8) {
		t.Errorf("%d plans and %d keys keep %d bytes in memory", len(plans), len(keys), kept)
	}
	runtime.KeepAlive(plans)
	runtime.KeepAlive(keys)
}

func liveHeapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A list is accepted exactly if all its names differ, whether the protocol has them or
// not.
func TestFieldNamesMustDiffer(t *testing.T) {
	names := []string{"c", "t", "d", "k", "r", "units", "spread", "first", "x", "xx", "X", "firs", "fields"}
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(names), 1, 9).Draw(t, "names")
		fields := make([]string, len(drawn))
		different := map[string]bool{}
		for i, name := range drawn {
			fields[i] = name + "=" + rapid.SampledFrom([]string{"1", "", "x=1"}).Filter(func(value string) bool {
				return value == "1" || len(name) < 3 && name != "d"
			}).Draw(t, "value")
			different[name] = true
		}
		list := strings.Join(fields, ",")
		_, err := parseFields(list)
		if accepted := err == nil; accepted != (len(different) == len(drawn)) {
			t.Fatalf("%q: got error %v for %d names, %d of them different", list, err, len(drawn), len(different))
		}
	})
}

// The bound on the fields argument is that of the protocol on a value: one of exactly
// that length is accepted, one more byte is not.
func TestLongestFields(t *testing.T) {
	front := New(nil, newManualCore(1), 1, 1<<20)
	for _, excess := range []int{0, 1} {
		list := protocolFields + ",x="
		list += strings.Repeat("y", resp.MaxValueBytes-len(list)+excess)
		args := [][]byte{[]byte("Q.ASK"), []byte("00000000b4d65521"), []byte("0000000000000001"), []byte(list)}
		_, err := front.parseRequest(args, time.Now())
		if accepted := err == nil; accepted != (excess == 0) {
			t.Errorf("a list of %d bytes: got %v", len(list), err)
		}
	}
}

// The pieces of an encoded command are the command with the remaining time, whether or
// not they share the memory of its body.
func TestEncodeInPieces(t *testing.T) {
	f := New(nil, newManualCore(1), 1, 1<<20)
	fields := strings.Replace(protocolFields, "d=50000", "d=900", 1)
	for _, size := range []int{0, 1, minSharedBody - 1, minSharedBody, minSharedBody + 1, 1 << 20} {
		words := []string{"Q.ASK", "00000000b4d65521", "0000000000000001", fields, strings.Repeat("b", size)}
		var args [][]byte
		want := redcon.AppendArray(nil, len(words))
		for _, word := range words {
			args = append(args, []byte(word))
			want = redcon.AppendBulkString(want, strings.Replace(word, "d=900", "d=250", 1))
		}
		request, err := f.parseRequest(args, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		pieces := request.Command.Encode(250 * time.Millisecond)
		if got := bytes.Join(pieces, nil); !bytes.Equal(got, want) {
			t.Errorf("a body of %d bytes: the pieces are not the command", size)
		}
		if shared := len(pieces) > 1; shared != (size >= minSharedBody) {
			t.Errorf("a body of %d bytes: %d pieces", size, len(pieces))
		}
	}
}
