package redis

import (
	"fmt"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"
	"github.com/redis/rueidis"
)

// A replica applies writes after the lag and rejects writes of clients. After a failover, writes that had not reached
// it are lost.
func TestReplication(t *testing.T) {
	a := startServer(t, Options{})
	g := a.Group()
	b, err := g.AddReplica(Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	ctx := t.Context()
	ca := goredis.NewClient(&goredis.Options{Addr: a.Addr(), MaxRetries: -1})
	cb := goredis.NewClient(&goredis.Options{Addr: b.Addr(), MaxRetries: -1})
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
	checkError(t, "SET", cb.Set(ctx, "k", "2", 0).Err(), "READONLY")
	err = cb.Eval(ctx, "return redis.call('SET','k','2')", nil).Err()
	checkError(t, "SET by a script at a replica", err, "READONLY")
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
	checkError(t, "SET", ca.Set(ctx, "k", "4", 0).Err(), "READONLY")
	if v := cb.Get(ctx, "k").Val(); v != "1" {
		t.Fatal(v)
	}
	if role := fmt.Sprint(ca.Do(ctx, "ROLE").Val()); !strings.HasPrefix(role, "[slave 127.0.0.1") {
		t.Fatal(role)
	}
}

// Both clients find the primary through a Sentinel, and the new primary after a failover.
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
	ctx := t.Context()
	c := goredis.NewFailoverClient(&goredis.FailoverOptions{
		MasterName: name, SentinelAddrs: []string{sen.Addr()}, MaxRetries: 5,
	})
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
			ofKey := len(rec.Args) > 1 && rec.Args[0] != "GET" && rec.Args[1] == k
			seen = seen || ofKey && strings.HasPrefix(rec.Reply, "+OK")
		}
		if !seen {
			t.Errorf("new primary: got no successful SET of %s", k)
		}
	}
}

// Both clients follow the slots of a two-shard cluster, including a slot in migration (ASK) and a moved one (MOVED).
func TestCluster(t *testing.T) {
	c, err := StartCluster(Options{}, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx := t.Context()
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
		t.Fatal("key not found on the shard that ASK named")
	}
	c.Assign(slot, to)
	if v, err := r.Do(ctx, r.B().Get().Key("{moved}1").Build()).ToString(); v != "asked" || err != nil { // MOVED
		t.Fatal(v, err)
	}
	raw := goredis.NewClient(&goredis.Options{Addr: first.Addr(), MaxRetries: -1})
	defer raw.Close()
	checkError(t, "MGET", raw.MGet(ctx, "a", "b").Err(), "CROSSSLOT")
}

// Slot computes the slots of the Redis Cluster specification.
func TestSlot(t *testing.T) {
	for key, want := range map[string]int{
		"123456789":            0x31c3,
		"foo":                  12182,
		"{user1000}.following": 3443,
		"foo{}{bar}":           8363,
		"foo{{bar}}zap":        4015,
	} {
		if got := Slot(key); got != want {
			t.Errorf("Slot(%q): got %d, want %d", key, got, want)
		}
	}
}
