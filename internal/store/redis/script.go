package redis

import (
	"crypto/sha1"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/store/ledger"
)

// addScript takes an instance's sum for a name if its sequence number is higher than the one stored. It returns the
// sequence number that came, the total of all instances, the sequence number stored before, the sum stored now, and
// what is left of the name's time to live if the instance was new to it. All that it writes goes in one HSET, so
// that no half of it can be lost.
//
//	KEYS[1]  the name's hash: t is the total, each other field an instance's "number:sum"
//	ARGV     field, sequence number, sum, time to live of a new name in ms
const addScript = `local v=redis.call('HMGET',KEYS[1],'t',ARGV[1])
local t,had,mine,left=0,0,0,0
if v[1] then t=tonumber(v[1]) end
if v[2] then
 local n,s=string.match(v[2],'^(%d+):(-?%d+)$')
 had,mine=tonumber(n),tonumber(s)
end
if tonumber(ARGV[2])>had then
 t=t+tonumber(ARGV[3])-mine
 mine=tonumber(ARGV[3])
 redis.call('HSET',KEYS[1],'t',string.format('%.0f',t),ARGV[1],ARGV[2]..':'..ARGV[3])
 if not v[1] then redis.call('PEXPIRE',KEYS[1],ARGV[4]) end
end
if had==0 then left=redis.call('PTTL',KEYS[1]) end
return {tonumber(ARGV[2]),t,had,mine,left}`

// addSHA is the name by which Redis knows the loaded script.
var addSHA = func() string {
	sum := sha1.Sum([]byte(addScript))
	return hex.EncodeToString(sum[:])
}()

// appendAdd appends the command of a write; with the script's text if the server may not have it.
func appendAdd(b []byte, keyPrefix, instanceID string, write ledger.Write, sendScript bool) []byte {
	const args = 8
	b = redcon.AppendArray(b, args)
	if sendScript {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVAL"), addScript)
	} else {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVALSHA"), addSHA)
	}
	b = redcon.AppendBulkString(b, "1")
	var text [96]byte // spares the allocations
	b = redcon.AppendBulk(b, append(append(text[:0], keyPrefix...), write.Name...))
	b = redcon.AppendBulk(b, strconv.AppendUint(append(append(text[:0], instanceID...), '.'), write.FirstSeq, 36))
	b = redcon.AppendBulk(b, strconv.AppendUint(text[:0], write.Seq, 10))
	b = redcon.AppendBulk(b, strconv.AppendInt(text[:0], write.Sum, 10))
	return redcon.AppendBulk(b, strconv.AppendInt(text[:0], max(1, write.TTL.Milliseconds()), 10))
}

// parseAdd reads the script's reply; ok is false for anything else. It allocates nothing.
func parseAdd(frame []byte) (seq uint64, reply ledger.Reply, ok bool) {
	var numbers [5]int64
	rest, ok := cutArrayHead(frame, '5')
	for i := 0; ok && i < len(numbers); i++ {
		numbers[i], rest, ok = cutInt(rest)
	}
	if !ok || len(rest) != 0 || numbers[0] < 0 || numbers[2] < 0 {
		return 0, ledger.Reply{}, false
	}
	return uint64(numbers[0]), ledger.Reply{
		Total:       numbers[1],
		PreviousSeq: uint64(numbers[2]),
		Own:         numbers[3],
		TTL:         time.Duration(max(0, numbers[4])) * time.Millisecond,
	}, true
}

// cutArrayHead removes the head of an array of so many elements, a digit.
func cutArrayHead(frame []byte, count byte) (rest []byte, ok bool) {
	if len(frame) < 4 || frame[0] != '*' || frame[1] != count || frame[2] != '\r' || frame[3] != '\n' {
		return nil, false
	}
	return frame[4:], true
}

// maxDigits is how many digits of an integer are read: fewer than would overflow.
const maxDigits = 18

// cutInt removes an integer, ":123\r\n", and returns it.
func cutInt(frame []byte) (n int64, rest []byte, ok bool) {
	if len(frame) < 4 || frame[0] != ':' {
		return 0, nil, false
	}
	i, negative := 1, frame[1] == '-'
	if negative {
		i++
	}
	first := i
	for ; i < len(frame) && frame[i] >= '0' && frame[i] <= '9'; i++ {
		if i-first >= maxDigits {
			return 0, nil, false
		}
		n = n*10 + int64(frame[i]-'0')
	}
	if i == first || i+1 >= len(frame) || frame[i] != '\r' || frame[i+1] != '\n' {
		return 0, nil, false
	}
	if negative {
		n = -n
	}
	return n, frame[i+2:], true
}
