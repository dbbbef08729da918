package redis

import (
	"crypto/sha1"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/store/ledger"
)

// addScript stores an instance's sum for a name if its sequence number is higher than the stored one. It returns the
// sequence number of the request, the total of all instances, the previously stored sequence number, the sum now
// stored, and the name's remaining time to live if the name had no sum of this instance before. The total and the sum
// are written with a single HSET, so that one cannot be lost without the other.
//
//	KEYS[1]  the name's hash; field t is the total, each other field is "sequence number:sum" of one instance
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

// addSHA is the SHA-1 digest by which EVALSHA refers to addScript.
var addSHA = func() string {
	sum := sha1.Sum([]byte(addScript))
	return hex.EncodeToString(sum[:])
}()

// appendAdd appends the command of a write: EVAL with the script's text if sendScript is set, otherwise EVALSHA.
func appendAdd(b []byte, keyPrefix, instanceID string, write ledger.Write, sendScript bool) []byte {
	const args = 8
	b = redcon.AppendArray(b, args)
	if sendScript {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVAL"), addScript)
	} else {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVALSHA"), addSHA)
	}
	b = redcon.AppendBulkString(b, "1")
	var text [96]byte // avoids allocations
	b = redcon.AppendBulk(b, append(append(text[:0], keyPrefix...), write.Name...))
	b = redcon.AppendBulk(b, strconv.AppendUint(append(append(text[:0], instanceID...), '.'), write.FirstSeq, 36))
	b = redcon.AppendBulk(b, strconv.AppendUint(text[:0], write.Seq, 10))
	b = redcon.AppendBulk(b, strconv.AppendInt(text[:0], write.Sum, 10))
	return redcon.AppendBulk(b, strconv.AppendInt(text[:0], max(1, write.TTL.Milliseconds()), 10))
}

// parseAdd parses the reply of addScript without allocating; ok is false if frame is anything else.
func parseAdd(frame []byte) (seq uint64, reply ledger.Reply, ok bool) {
	var numbers [5]int64
	rest, ok := cutArrayHeader(frame, '5')
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

// cutArrayHeader removes the RESP header of an array whose length is the digit count.
func cutArrayHeader(frame []byte, count byte) (rest []byte, ok bool) {
	if len(frame) < 4 || frame[0] != '*' || frame[1] != count || frame[2] != '\r' || frame[3] != '\n' {
		return nil, false
	}
	return frame[4:], true
}

// maxDigits is the maximum number of digits of an integer; more could overflow an int64.
const maxDigits = 18

// cutInt removes a RESP integer such as ":123\r\n" and returns its value.
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
