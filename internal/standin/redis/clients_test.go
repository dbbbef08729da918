package redis

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	goredis "github.com/redis/go-redis/v9"
	"github.com/redis/rueidis"
)

func startServer(t testing.TB, opt Options) *Server {
	t.Helper()
	s, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// doFunc runs a command on a third-party client and returns the reply as a Go value.
type doFunc func(ctx context.Context, args ...string) (any, error)

// clients connects go-redis and rueidis, each with RESP2 and with RESP3.
func clients(t *testing.T, addr, user, password string) map[string]doFunc {
	t.Helper()
	out := map[string]doFunc{}
	for _, proto := range []int{2, 3} {
		c := goredis.NewClient(&goredis.Options{
			Addr: addr, Username: user, Password: password, Protocol: proto, MaxRetries: -1,
			ClientName: "suite",
		})
		t.Cleanup(func() { c.Close() })
		out[fmt.Sprint("go-redis RESP", proto)] = func(ctx context.Context, args ...string) (any, error) {
			list := make([]any, len(args))
			for i, a := range args {
				list[i] = a
			}
			v, err := c.Do(ctx, list...).Result()
			if errors.Is(err, goredis.Nil) {
				return nil, nil
			}
			return v, err
		}
		r, err := rueidis.NewClient(rueidis.ClientOption{
			InitAddress: []string{addr}, Username: user, Password: password,
			AlwaysRESP2: proto == 2, DisableCache: true, DisableRetry: true, ForceSingleClient: true,
			ClientName: "suite",
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		out[fmt.Sprint("rueidis RESP", proto)] = func(ctx context.Context, args ...string) (any, error) {
			v, err := r.Do(ctx, r.B().Arbitrary(args[0]).Args(args[1:]...).Build()).ToAny()
			if rueidis.IsRedisNil(err) {
				return nil, nil
			}
			return v, err
		}
	}
	return out
}

// step is a command or script and the expected reply. If want begins with !, the rest is the prefix of the expected
// error message; an empty want accepts any reply.
type step struct{ input, want string }

// check compares a client's result with the expected reply.
func (s step) check(t *testing.T, v any, err error) {
	t.Helper()
	got := fmt.Sprint(v)
	if err != nil { // rueidis strips the ERR prefix
		got = "!" + strings.TrimPrefix(err.Error(), "ERR ")
	}
	if s.want == "" || got == s.want || strings.HasPrefix(s.want, "!") && strings.HasPrefix(got, s.want) {
		return
	}
	t.Errorf("%s: got %s, want %s", s.input, got, s.want)
}

var commandSteps = []step{
	{"PING", "PONG"},
	{"ECHO hi", "hi"},
	{"GET k", "<nil>"},
	{"SET k 5", "OK"},
	{"GET k", "5"},
	{"INCRBY k 3", "8"},
	{"DECR k", "7"},
	{"SET k 1 NX", "<nil>"},
	{"SET k 2 XX GET", "7"},
	{"INCRBYFLOAT k 0.25", "2.25"},
	{"INCR k", "!value is not an integer"},
	{"STRLEN k", "4"},
	{"TYPE k", "string"},
	{"TTL k", "-1"},
	{"PEXPIRE k 100000", "1"},
	{"TTL k", "100"},
	{"EXPIRE k 200 LT", "0"},
	{"EXPIRE k 200 GT", "1"},
	{"PERSIST k", "1"},
	{"EXPIRE k 0", "1"},
	{"EXISTS k", "0"},
	{"TTL k", "-2"},
	{"SET k v EX 0", "!invalid expire"},
	{"SET k v PX 90000", "OK"},
	{"TTL k", "90"},
	{"SET k w KEEPTTL", "OK"},
	{"TTL k", "90"},
	{"SETEX k 10 x", "OK"},
	{"SETNX k y", "0"},
	{"HSET h a 1 b 2", "2"},
	{"HGET h a", "1"},
	{"HGET h z", "<nil>"},
	{"HMGET h a z b", "[1 <nil> 2]"},
	{"HLEN h", "2"},
	{"HINCRBY h a 41", "42"},
	{"HINCRBYFLOAT h b 0.5", "2.5"},
	{"HDEL h a z", "1"},
	{"GET h", "!WRONGTYPE"},
	{"HGET k a", "!WRONGTYPE"},
	{"MGET k h n", "[x <nil> <nil>]"},
	{"DBSIZE", "2"},
	{"DEL k h n", "2"},
	{"KEYS *", "[]"},
	{"INCRBY n 9223372036854775807", "9223372036854775807"},
	{"INCR n", "!increment or decrement would overflow"},
	{"GET", "!wrong number of arguments for 'get' command"},
	{"NOSUCH a", "!unknown command 'NOSUCH', with args beginning with: 'a'"},
	{"SET k v EX", "!syntax error"},
	{"SET k v NX XX", "!syntax error"},
	{"CLIENT GETNAME", "suite"},
	{"CLIENT SETINFO LIB-NAME x", "OK"},
	{"CLIENT NOSUCH", "!unknown subcommand"},
	{"SCRIPT EXISTS ffff", "[0]"},
	{"EVALSHA ffff 0", "!NOSCRIPT"},
	{"WAIT 0 10", "0"},
	{"COMMAND COUNT", ""},
}

// Third-party clients receive the replies that the public documentation of each command describes, in RESP2 and RESP3.
func TestCommands(t *testing.T) {
	s := startServer(t, Options{Password: "pw"})
	for name, c := range clients(t, s.Addr(), "", "pw") {
		t.Run(name, func(t *testing.T) {
			if _, err := c(t.Context(), "FLUSHALL"); err != nil {
				t.Fatal(err)
			}
			for _, step := range commandSteps {
				v, err := c(t.Context(), strings.Fields(step.input)...)
				step.check(t, v, err)
			}
		})
	}
}

// scriptSteps are run with the key k and the arguments a and b.
var scriptSteps = []step{
	{"return 3.99", "3"},
	{"return 'x'", "x"},
	{"return true", "1"},
	{"return false", "<nil>"},
	{"return nil", "<nil>"},
	{"return {1,'b',{2},nil,5}", "[1 b [2]]"},
	{"return redis.status_reply('FINE')", "FINE"},
	{"return {ok='FINE'}", "FINE"},
	{"return redis.error_reply('MYERR no')", "!MYERR no"},
	{"return {err='MYERR no'}", "!MYERR no"},
	{"return KEYS[1]..ARGV[1]", "ka"},
	{"return #ARGV", "2"},
	{"return redis.call('SET',KEYS[1],ARGV[2])", "OK"},
	{"return redis.call('GET',KEYS[1])", "b"},
	{"return redis.call('INCRBY','n',2^40)", "1099511627776"},
	{"redis.call('INCR',KEYS[1]) return 1", "!value is not an integer"},
	{"local r=redis.pcall('INCR',KEYS[1]) return r.err", "ERR value is not an integer or out of range"},
	{"local r=redis.pcall('GET','none') return r==false", "1"},
	{"redis.call('SET','half','1') redis.call('NOSUCH') return 1", "!unknown command"},
	{"return redis.call('GET','half')", "1"},
	{"x=1 return x", "!Error running script"},
	{"return y", "!Error running script"},
	{"return (", "!Error compiling script"},
	{"return redis.call('EVAL','return 1','0')", "!This Redis command is not allowed from script"},
	{"return redis.sha1hex('')", "da39a3ee5e6b4b0d3255bfef95601890afd80709"},
	{"return os.time()", "!Error running script"},
	{"return string.format('%.0f',2^53)", "9007199254740992"},
}

// Lua scripts convert arguments and results as documented, with both clients.
func TestScripts(t *testing.T) {
	s := startServer(t, Options{})
	for name, c := range clients(t, s.Addr(), "", "") {
		t.Run(name, func(t *testing.T) {
			if _, err := c(t.Context(), "FLUSHALL"); err != nil {
				t.Fatal(err)
			}
			for _, step := range scriptSteps {
				v, err := c(t.Context(), "EVAL", step.input, "1", "k", "a", "b")
				step.check(t, v, err)
			}
			checkScriptCache(t, c)
		})
	}
}

// checkScriptCache checks that a loaded script can be run by its SHA-1 until SCRIPT FLUSH.
func checkScriptCache(t *testing.T, c doFunc) {
	t.Helper()
	ctx := t.Context()
	id, err := c(ctx, "SCRIPT", "LOAD", "return ARGV[1]")
	if err != nil {
		t.Fatal(err)
	}
	if v, err := c(ctx, "EVALSHA", fmt.Sprint(id), "0", "z"); v != "z" || err != nil {
		t.Fatalf("EVALSHA: got %v, %v, want z", v, err)
	}
	if _, err := c(ctx, "SCRIPT", "FLUSH"); err != nil {
		t.Fatal(err)
	}
	_, err = c(ctx, "EVALSHA", fmt.Sprint(id), "0", "z")
	checkError(t, "EVALSHA after a flush", err, "NOSCRIPT")
}

// checkError checks that an error message has a prefix.
func checkError(t *testing.T, what string, err error, prefix string) {
	t.Helper()
	if err == nil || !strings.HasPrefix(err.Error(), prefix) {
		t.Fatalf("%s: got error %v, want %s", what, err, prefix)
	}
}

// checkSet checks that SET fails with an error that contains text, or succeeds if text is empty.
func checkSet(t *testing.T, what string, c *goredis.Client, text string) {
	t.Helper()
	err := c.Set(t.Context(), "k", "v", 0).Err()
	if text == "" && err != nil {
		t.Fatalf("%s: SET: got error %v, want none", what, err)
	}
	if text != "" && (err == nil || !strings.Contains(err.Error(), text)) {
		t.Fatalf("%s: SET: got error %v, want %q", what, err, text)
	}
}

func TestLogIn(t *testing.T) {
	s := startServer(t, Options{User: "u", Password: "pw"})
	ctx := t.Context()
	for name, c := range clients(t, s.Addr(), "u", "pw") {
		if _, err := c(ctx, "GET", "k"); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	bad := goredis.NewClient(&goredis.Options{Addr: s.Addr(), Username: "u", Password: "no", MaxRetries: -1})
	defer bad.Close()
	if err := bad.Get(ctx, "k").Err(); err == nil || !strings.Contains(err.Error(), "WRONGPASS") {
		t.Fatal(err)
	}
	none := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1})
	defer none.Close()
	if err := none.Get(ctx, "k").Err(); err == nil || !strings.Contains(err.Error(), "NOAUTH") {
		t.Fatal(err)
	}
}

// Pipelines and transactions work with go-redis: a failing command doesn't affect the others, an unknown command aborts
// the transaction, and so does a change to a watched key.
func TestTransactions(t *testing.T) {
	s := startServer(t, Options{})
	ctx := t.Context()
	c := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1})
	defer c.Close()
	cmds, err := c.Pipelined(ctx, func(p goredis.Pipeliner) error {
		for range 100 {
			p.Incr(ctx, "n")
		}
		return nil
	})
	if err != nil || cmds[99].(*goredis.IntCmd).Val() != 100 {
		t.Fatal(err, cmds[99])
	}
	cmds, err = c.TxPipelined(ctx, func(p goredis.Pipeliner) error {
		p.Incr(ctx, "n")
		p.HGet(ctx, "n", "f") // fails when executed; the other commands take effect
		p.Incr(ctx, "n")
		return nil
	})
	if err == nil || !strings.HasPrefix(err.Error(), "WRONGTYPE") || cmds[2].(*goredis.IntCmd).Val() != 102 {
		t.Fatal(err, cmds)
	}
	_, err = c.TxPipelined(ctx, func(p goredis.Pipeliner) error {
		p.Incr(ctx, "n")
		p.Do(ctx, "NOSUCH")
		return nil
	})
	if err == nil || !strings.HasPrefix(err.Error(), "EXECABORT") {
		checkError(t, "a transaction with an unknown command", err, "ERR unknown command")
	}
	if n, _ := c.Get(ctx, "n").Int(); n != 102 {
		t.Fatalf("n after a discarded transaction: got %d, want 102", n)
	}
	err = c.Watch(ctx, func(tx *goredis.Tx) error {
		c.Incr(ctx, "n") // on another connection
		_, err := tx.TxPipelined(ctx, func(p goredis.Pipeliner) error { return p.Set(ctx, "n", 0, 0).Err() })
		return err
	}, "n")
	if !errors.Is(err, goredis.TxFailedErr) {
		t.Fatal(err)
	}
}
