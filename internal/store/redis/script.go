package redis

import (
	"crypto/sha1"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/store/ledger"
)

// addScript takes an instance's figure for a name if its number is higher than the one held, and answers the number
// that came, the total of all instances, the number held before, the figure held now, and what is left of the name's
// life if the instance was new to it. All that it writes goes in one HSET, so that there is no half of it.
//
//	KEYS[1]  the name's hash: t is the total, each other field an instance's "number:figure"
//	ARGV     field, number, figure, life of a new name in ms
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

var addSHA = func() string {
	sum := sha1.Sum([]byte(addScript))
	return hex.EncodeToString(sum[:])
}()

// appendAdd writes the command of a write; with the script's text where the server may not have it.
func appendAdd(b []byte, prefix, instance string, w ledger.Write, byText bool) []byte {
	b = redcon.AppendArray(b, 8)
	if byText {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVAL"), addScript)
	} else {
		b = redcon.AppendBulkString(redcon.AppendBulkString(b, "EVALSHA"), addSHA)
	}
	b = redcon.AppendBulkString(b, "1")
	var text [96]byte
	b = redcon.AppendBulk(b, append(append(text[:0], prefix...), w.Name...))
	b = redcon.AppendBulk(b, strconv.AppendUint(append(append(text[:0], instance...), '.'), w.FirstSeq, 36))
	b = redcon.AppendBulk(b, strconv.AppendUint(text[:0], w.Seq, 10))
	b = redcon.AppendBulk(b, strconv.AppendInt(text[:0], w.Sum, 10))
	return redcon.AppendBulk(b, strconv.AppendInt(text[:0], max(1, w.TTL.Milliseconds()), 10))
}

// parseAdd reads the script's answer; ok is false for anything else. It allocates nothing.
func parseAdd(f []byte) (seq uint64, a ledger.Reply, ok bool) {
	var n [5]int64
	f, ok = cutLine(f, '*', '5')
	for i := 0; ok && i < len(n); i++ {
		n[i], f, ok = cutInt(f)
	}
	if !ok || len(f) != 0 || n[0] < 0 || n[2] < 0 {
		return 0, ledger.Reply{}, false
	}
	return uint64(n[0]), ledger.Reply{
		Total: n[1], PreviousSeq: uint64(n[2]), Own: n[3],
		TTL: time.Duration(max(0, n[4])) * time.Millisecond,
	}, true
}

func cutLine(f []byte, kind, c byte) ([]byte, bool) {
	if len(f) < 4 || f[0] != kind || f[1] != c || f[2] != '\r' || f[3] != '\n' {
		return nil, false
	}
	return f[4:], true
}

// cutInt reads ":123\r\n".
func cutInt(f []byte) (n int64, rest []byte, ok bool) {
	if len(f) < 4 || f[0] != ':' {
		return 0, nil, false
	}
	i, neg := 1, f[1] == '-'
	if neg {
		i++
	}
	from := i
	for ; i < len(f) && f[i] >= '0' && f[i] <= '9'; i++ {
		if i-from > 17 {
			return 0, nil, false
		}
		n = n*10 + int64(f[i]-'0')
	}
	if i == from || i+1 >= len(f) || f[i] != '\r' || f[i+1] != '\n' {
		return 0, nil, false
	}
	if neg {
		n = -n
	}
	return n, f[i+2:], true
}
