package redis

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"
	"github.com/redis/rueidis"

	"hitchspring/internal/standin/fault"
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

// do is a client that no one here wrote, as far as the suite needs it: a command in, Go values out.
type do func(ctx context.Context, args ...string) (any, error)

// clients opens both clients in both versions of the protocol.
func clients(t *testing.T, addr, user, password string) map[string]do {
	t.Helper()
	out := map[string]do{}
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
			AlwaysRESP2: proto == 2, DisableCache: true, DisableRetry: true, ForceSingleClient: true, ClientName: "suite",
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

// Two clients that no one here wrote get what the public documentation of each command says, in both versions.
func TestCommands(t *testing.T) {
	s := startServer(t, Options{Password: "pw"})
	ctx := context.Background()
	for name, c := range clients(t, s.Addr(), "", "pw") {
		t.Run(name, func(t *testing.T) {
			if _, err := c(ctx, "FLUSHALL"); err != nil {
				t.Fatal(err)
			}
			for _, step := range []struct{ command, want string }{
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
			} {
				v, err := c(ctx, strings.Fields(step.command)...)
				got := fmt.Sprint(v)
				if err != nil { // rueidis leaves out the word ERR
					got = "!" + strings.TrimPrefix(err.Error(), "ERR ")
				}
				if step.want == "" || got == step.want || strings.HasPrefix(step.want, "!") && strings.HasPrefix(got, step.want) {
					continue
				}
				t.Errorf("%s: %s, want %s", step.command, got, step.want)
			}
		})
	}
}

// Scripts: what goes in and what comes out, for both clients.
func TestScripts(t *testing.T) {
	s := startServer(t, Options{})
	ctx := context.Background()
	for name, c := range clients(t, s.Addr(), "", "") {
		t.Run(name, func(t *testing.T) {
			c(ctx, "FLUSHALL")
			for _, step := range []struct{ script, want string }{
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
			} {
				v, err := c(ctx, "EVAL", step.script, "1", "k", "a", "b")
				got := fmt.Sprint(v)
				if err != nil { // rueidis leaves out the word ERR
					got = "!" + strings.TrimPrefix(err.Error(), "ERR ")
				}
				if got != step.want && !(strings.HasPrefix(step.want, "!") && strings.HasPrefix(got, step.want)) {
					t.Errorf("%s: %s, want %s", step.script, got, step.want)
				}
			}
			id, err := c(ctx, "SCRIPT", "LOAD", "return ARGV[1]")
			if err != nil {
				t.Fatal(err)
			}
			if v, err := c(ctx, "EVALSHA", fmt.Sprint(id), "0", "z"); v != "z" || err != nil {
				t.Fatal(v, err)
			}
			c(ctx, "SCRIPT", "FLUSH")
			if _, err := c(ctx, "EVALSHA", fmt.Sprint(id), "0", "z"); err == nil || !strings.HasPrefix(err.Error(), "NOSCRIPT") {
				t.Fatal(err)
			}
		})
	}
}

func TestLogIn(t *testing.T) {
	s := startServer(t, Options{User: "u", Password: "pw"})
	ctx := context.Background()
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

// Pipelines and transactions of go-redis.
func TestTransactions(t *testing.T) {
	s := startServer(t, Options{})
	ctx := context.Background()
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
		p.HGet(ctx, "n", "f") // fails when it runs; the others stand
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
	if err == nil || !strings.HasPrefix(err.Error(), "ERR unknown command") && !strings.HasPrefix(err.Error(), "EXECABORT") {
		t.Fatal(err)
	}
	if n, _ := c.Get(ctx, "n").Int(); n != 102 {
		t.Fatalf("n is %d after a transaction that was discarded", n)
	}
	err = c.Watch(ctx, func(tx *goredis.Tx) error {
		c.Incr(ctx, "n") // another connection
		_, err := tx.TxPipelined(ctx, func(p goredis.Pipeliner) error { return p.Set(ctx, "n", 0, 0).Err() })
		return err
	}, "n")
	if !errors.Is(err, goredis.TxFailedErr) {
		t.Fatal(err)
	}
}

// A replica lags, refuses writes and, made the primary, has lost what had not reached it.
func TestReplication(t *testing.T) {
	a := startServer(t, Options{})
	g := a.Group()
	b, err := g.AddReplica(Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	ctx := context.Background()
	ca, cb := goredis.NewClient(&goredis.Options{Addr: a.Addr(), MaxRetries: -1}), goredis.NewClient(&goredis.Options{Addr: b.Addr(), MaxRetries: -1})
	defer ca.Close()
	defer cb.Close()
	ca.Set(ctx, "k", "1", time.Minute)
	ca.Eval(ctx, "redis.call('HSET','h','f',ARGV[1]) return redis.call('PEXPIRE','h',50000)", nil, "v")
	if n, err := ca.Wait(ctx, 1, time.Second).Result(); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if v, err := cb.Get(ctx, "k").Result(); v != "1" || err != nil {
		t.Fatal(v, err)
	}
	if v := cb.HGet(ctx, "h", "f").Val(); v != "v" {
		t.Fatal(v)
	}
	if d := cb.PTTL(ctx, "h").Val(); d < 40*time.Second || d > 50*time.Second {
		t.Fatal(d)
	}
	if err := cb.Set(ctx, "k", "2", 0).Err(); err == nil || !strings.HasPrefix(err.Error(), "READONLY") {
		t.Fatal(err)
	}
	if err := cb.Eval(ctx, "return redis.call('SET','k','2')", nil).Err(); err == nil || !strings.HasPrefix(err.Error(), "READONLY") {
		t.Fatal(err)
	}
	g.SetLag(time.Hour)
	ca.Set(ctx, "k", "3", 0)
	if n := ca.Wait(ctx, 1, 20*time.Millisecond).Val(); n != 0 {
		t.Fatal("reached ", n)
	}
	if v := cb.Get(ctx, "k").Val(); v != "1" {
		t.Fatal(v)
	}
	if lost := g.Failover(b, false); lost != 1 {
		t.Fatal("lost ", lost)
	}
	if err := ca.Set(ctx, "k", "4", 0).Err(); err == nil || !strings.HasPrefix(err.Error(), "READONLY") {
		t.Fatal(err)
	}
	if v := cb.Get(ctx, "k").Val(); v != "1" {
		t.Fatal(v)
	}
	if role := fmt.Sprint(ca.Do(ctx, "ROLE").Val()); !strings.HasPrefix(role, "[slave 127.0.0.1") {
		t.Fatal(role)
	}
}

// Both clients find the primary by a Sentinel, and the new one after a failover.
func TestSentinel(t *testing.T) {
	a := startServer(t, Options{})
	g := a.Group()
	b, err := g.AddReplica(Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	sen, name, err := g.AddSentinel(Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sen.Close)
	ctx := context.Background()
	c := goredis.NewFailoverClient(&goredis.FailoverOptions{MasterName: name, SentinelAddrs: []string{sen.Addr()}, MaxRetries: 5})
	defer c.Close()
	r, err := rueidis.NewClient(rueidis.ClientOption{
		InitAddress: []string{sen.Addr()}, DisableCache: true,
		Sentinel: rueidis.SentinelOption{MasterSet: name},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := c.Set(ctx, "k", "1", 0).Err(); err != nil {
		t.Fatal(err)
	}
	g.Failover(b, false)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		e1 := c.Set(ctx, "go", "2", 0).Err()
		e2 := r.Do(ctx, r.B().Set().Key("ru").Value("2").Build()).Error()
		if e1 == nil && e2 == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(e1, e2)
		}
	}
	for _, k := range []string{"go", "ru"} {
		seen := false
		for _, rec := range b.Records() {
			seen = seen || len(rec.Args) > 1 && rec.Args[0] != "GET" && rec.Args[1] == k && strings.HasPrefix(rec.Reply, "+OK")
		}
		if !seen {
			t.Errorf("the new primary never took %s", k)
		}
	}
}

// Both clients follow the slots of a two-shard cluster, a slot that has moved and one that is on its way.
func TestCluster(t *testing.T) {
	c, err := StartCluster(Options{}, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx := context.Background()
	first, second := c.Shards()[0], c.Shards()[1]
	g := goredis.NewClusterClient(&goredis.ClusterOptions{Addrs: []string{first.Addr()}})
	defer g.Close()
	r, err := rueidis.NewClient(rueidis.ClientOption{InitAddress: []string{first.Addr()}, DisableCache: true})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for i := range 50 {
		k := fmt.Sprint("k", i)
		if err := g.Set(ctx, k, "g", 0).Err(); err != nil {
			t.Fatal(err)
		}
		if v, err := r.Do(ctx, r.B().Get().Key(k).Build()).ToString(); v != "g" || err != nil {
			t.Fatal(v, err)
		}
	}
	if n, m := len(first.dbs[0]), len(second.dbs[0]); n == 0 || m == 0 || n+m != 50 {
		t.Fatalf("%d and %d keys", n, m)
	}
	slot := Slot("{moved}")
	if want := Slot("moved"); slot != want {
		t.Fatal(slot, want)
	}
	to := second
	if slot >= slotCount/2 {
		to = first
	}
	c.Migrate(slot, to)
	if err := g.Set(ctx, "{moved}1", "asked", 0).Err(); err != nil { // ASK
		t.Fatal(err)
	}
	if to.dbs[0]["{moved}1"] == nil {
		t.Fatal("the key is not where ASK pointed")
	}
	c.Assign(slot, to)
	if v, err := r.Do(ctx, r.B().Get().Key("{moved}1").Build()).ToString(); v != "asked" || err != nil { // MOVED
		t.Fatal(v, err)
	}
	raw := goredis.NewClient(&goredis.Options{Addr: first.Addr(), MaxRetries: -1})
	defer raw.Close()
	if err := raw.MGet(ctx, "a", "b").Err(); err == nil || !strings.HasPrefix(err.Error(), "CROSSSLOT") {
		t.Fatal(err)
	}
}

// Slots are those of the specification.
func TestSlot(t *testing.T) {
	for key, want := range map[string]int{"123456789": 0x31c3, "foo": 12182, "{user1000}.following": 3443, "foo{}{bar}": 8363, "foo{{bar}}zap": 4015} {
		if got := Slot(key); got != want {
			t.Errorf("%s: %d, want %d", key, got, want)
		}
	}
}

// Each fault does what it says to a client that no one here wrote.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	for kind, c := range map[fault.Kind]struct{ fails, applied bool }{
		fault.Delay: {false, true}, fault.Hold: {false, true}, fault.Ignore: {true, false}, fault.Swallow: {true, true}, fault.Late: {true, true},
		fault.DropBefore: {true, false}, fault.DropAfter: {true, true}, fault.Cut: {true, true}, fault.Fail: {true, false}, fault.Repeat: {false, true},
	} {
		t.Run(string(kind), func(t *testing.T) {
			s := startServer(t, Options{})
			cl := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1, ReadTimeout: 500 * time.Millisecond})
			defer cl.Close()
			s.Fault(fault.Rule{Kind: kind, On: "INCR", Times: 1, By: 50 * time.Millisecond, Text: "ERR no"})
			err := cl.Incr(ctx, "n").Err()
			if (err != nil) != c.fails {
				t.Fatal(err)
			}
			var rec Record
			for end := time.Now().Add(10 * time.Second); rec.Fault == "" && time.Now().Before(end); {
				for _, r := range s.Records() {
					if r.Fault != "" {
						rec = r
					}
				}
			}
			if rec.Fault != kind || rec.Applied != c.applied {
				t.Fatalf("%+v, want applied %v", rec, c.applied)
			}
			if n, _ := cl.Get(ctx, "n").Int(); (n == 1) != c.applied {
				t.Fatal(n)
			}
		})
	}
}

// States of the whole server, as go-redis sees them.
func TestStates(t *testing.T) {
	ctx := context.Background()
	s := startServer(t, Options{Idle: 300 * time.Millisecond})
	c := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1, PoolSize: 1})
	defer c.Close()
	want := func(what, word string) {
		t.Helper()
		if err := c.Set(ctx, "k", "v", 0).Err(); word == "" && err != nil || word != "" && (err == nil || !strings.Contains(err.Error(), word)) {
			t.Fatalf("%s: %v", what, err)
		}
	}
	want("at first", "")
	s.Full(true)
	want("full", "OOM")
	s.Full(false)
	s.ReadOnly(true)
	want("read only", "READONLY")
	s.ReadOnly(false)
	s.Load(time.Hour)
	want("loading", "LOADING")
	s.Load(0)
	want("again", "")
	s.MaxClients(1)
	nc, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	if text, err := io.ReadAll(nc); string(text) != "-ERR max number of clients reached\r\n" {
		t.Fatal(string(text), err)
	}
	for end := time.Now().Add(10 * time.Second); s.Clients() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an idle connection is not closed")
		}
	}
	s.Restart(0)
	if n := goredis.NewClient(&goredis.Options{Addr: s.Addr()}).DBSize(ctx).Val(); n != 0 {
		t.Fatalf("%d keys after a restart", n)
	}
}
