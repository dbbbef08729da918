package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/lab/respclient"
	"hitchspring/internal/standin/scripted"
)

const (
	crowdTime      = 2 * time.Second // for which each kind of crowd is played
	crowdMemoryMB  = 64
	maxCrowdMemory = crowdMemoryMB << 10 * 9 / 10 // KiB
	crowdSockets   = 1024
	crowdClients   = 500
	floodingCrowd  = 40 // clients that write without waiting for answers
)

// crowdClient plays one connection of a client among many. It returns when the connection ends, or after its request.
type crowdClient func(conn net.Conn, number int, rng *rand.Rand)

// crowds are the kinds of clients whose numbers must not take an instance over its memory limit.
var crowds = []struct {
	name    string
	clients int
	run     crowdClient
}{
	{"slow writers", crowdClients, func(conn net.Conn, number int, _ *rand.Rand) {
		writeSlowly(conn, crowdRequest(number, "", 1<<20), 20_000, 100*time.Millisecond)
		io.Copy(io.Discard, conn)
	}},
	{"stopped within a large request", crowdClients, func(conn net.Conn, number int, rng *rand.Rand) {
		text := crowdRequest(number, "", []int{60_000, 300_000, 1 << 20, 4 << 20}[rng.IntN(4)])
		io.WriteString(conn, text[:len(text)/2])
		io.Copy(io.Discard, conn)
	}},
	{"short fields", crowdClients, func(conn net.Conn, number int, rng *rand.Rand) {
		text := crowdRequest(number, shortFields(65_000), 0)
		writeSlowly(conn, text, 1+rng.IntN(len(text)), time.Duration(rng.IntN(1000))*time.Millisecond)
		readAnswer(conn)
	}},
	{"short fields at full speed", floodingCrowd, func(conn net.Conn, number int, rng *rand.Rand) {
		writeOn(conn, func(n int) string { return crowdRequest(number<<16+n, shortFields(30_000+rng.IntN(35_000)), 0) })
	}},
	{"slow readers of long answers", crowdClients, func(conn net.Conn, number int, _ *rand.Rand) {
		io.WriteString(conn, crowdRequest(number, ",size=long", 0))
		readSlowly(conn)
	}},
	{"slow readers of many answers", crowdClients, func(conn net.Conn, number int, _ *rand.Rand) {
		var text strings.Builder
		for n := range 64 {
			text.WriteString(crowdRequest(number<<16+n, ",size=full", 0))
		}
		go io.WriteString(conn, text.String())
		readSlowly(conn)
	}},
	{"large requests", crowdClients, func(conn net.Conn, number int, rng *rand.Rand) {
		io.WriteString(conn, crowdRequest(number, "", 200_000+rng.IntN(2<<20)))
		readAnswer(conn)
	}},
	{"large requests at full speed", floodingCrowd, func(conn net.Conn, number int, rng *rand.Rand) {
		writeOn(conn, func(n int) string { return crowdRequest(number<<16+n, "", 200_000+rng.IntN(3<<20)) })
	}},
}

// crowdRequest returns a request with further fields, and with a body unless bodyBytes is 0.
func crowdRequest(number int, moreFields string, bodyBytes int) string {
	fields := "c=a,t=p,d=900,units=1,spread=1,first=0" + moreFields
	args := []string{"Q.ASK", fmt.Sprintf("%016x", number%9000), fmt.Sprintf("%016x", 1<<41+number), fields}
	if bodyBytes > 0 {
		args = append(args, strings.Repeat("b", bodyBytes))
	}
	return respclient.EncodeCommand(args...)
}

// shortFields returns fields of about so many bytes, as many as fit.
func shortFields(bytes int) string {
	var fields strings.Builder
	for n := 1 << 12; fields.Len() < bytes; n++ {
		fmt.Fprintf(&fields, ",%x=", n)
	}
	return fields.String()
}

func writeSlowly(conn net.Conn, text string, pieceBytes int, pause time.Duration) {
	for len(text) > 0 {
		n, err := io.WriteString(conn, text[:min(pieceBytes, len(text))])
		if err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// writeOn writes requests without waiting for their answers, which it discards.
func writeOn(conn net.Conn, request func(n int) string) {
	go io.Copy(io.Discard, conn)
	for n := 0; ; n++ {
		if _, err := io.WriteString(conn, request(n)); err != nil {
			return
		}
	}
}

func readSlowly(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func readAnswer(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = bufio.NewReader(conn).ReadString('\n') // the answer doesn't matter
}

// crowdBackend returns a backend that serves values of 1 MB, 65 KB or a few bytes, as the fields of a request ask for.
func crowdBackend(t *testing.T) *scripted.Backend {
	t.Helper()
	value := func(bytes int) string {
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", bytes, strings.Repeat("v", bytes))
	}
	long, full := value(1_000_000), value(65_000)
	return scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		time.Sleep(5 * time.Millisecond)
		switch {
		case len(args) > 3 && strings.Contains(args[3], "size=long"):
			return long
		case len(args) > 3 && strings.Contains(args[3], "size=full"):
			return full
		}
		return scripted.Served
	})
}

// playCrowd runs so many clients for crowdTime, each of which connects again when its connection ends. It returns the
// most anonymous memory of the instance in KiB.
func playCrowd(i *instance, clients int, run func(client int) crowdClient) (peakKB int) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	var number atomic.Int64
	for client := range clients {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(client), 1))
			for !isClosed(stop) {
				conn, err := net.DialTimeout("tcp", i.listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					conn.Close()
				}()
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetReadBuffer(8 << 10) // a larger one only makes the client read less slowly
				}
				run(client)(conn, int(number.Add(1)), rng)
				close(ended)
			}
		})
	}
	for began := time.Now(); time.Since(began) < crowdTime; time.Sleep(5 * time.Millisecond) {
		peakKB = max(peakKB, i.process.residentKB())
	}
	close(stop)
	running.Wait()
	return peakKB
}

// Guards against a process that passes its memory limit because of many clients that write, stop or read slowly, or
// that send large requests, each kind alone and all together.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	backend := crowdBackend(t)
	list := servingList(1, backend.Addr)
	for n := 1; n < 12; n++ {
		list.Targets = append(list.Targets, target(fmt.Sprint("s", n), backend.Addr, "SERVING"))
	}
	play := func(name string, clients int, run func(client int) crowdClient) {
		t.Run(name, func(t *testing.T) {
			p := healthyPlatformConfig(t, list)
			p.memoryMB, p.sockets = crowdMemoryMB, crowdSockets
			i := startInstance(t, p)
			peak := playCrowd(i, clients, run)
			t.Logf("%d of %d KiB", peak, crowdMemoryMB<<10)
			if peak > maxCrowdMemory {
				t.Errorf("the process had %d KiB, want %d at most", peak, maxCrowdMemory)
			}
			if !i.ping() {
				t.Errorf("the instance does not serve: %s", &i.process.log)
			}
			i.kill()
		})
	}
	for _, crowd := range crowds {
		play(crowd.name, crowd.clients, func(int) crowdClient { return crowd.run })
	}
	play("all", crowdClients, func(client int) crowdClient { return crowds[client%len(crowds)].run })
}
