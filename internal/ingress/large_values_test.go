package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/standin/scripted"
)

// randomValue returns a reproducible pseudorandom value, in which a missing,
// duplicated or foreign piece is detected.
func randomValue(seed, size int) []byte {
	b := make([]byte, size)
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	for i := 0; i+8 <= size; i += 8 {
		v := r.Uint64()
		for k := range 8 {
			b[i+k] = byte('a' + v>>(8*k)&15)
		}
	}
	return b
}

// requestID returns the id that encodeRead has put into a command.
func requestID(args []string) int {
	n, _ := strconv.ParseInt(args[2], 16, 32)
	return int(n)
}

func encodeValue(value []byte) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// readValue reads one answer that is a bulk string.
func readValue(in *bufio.Reader) ([]byte, error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "$")))
	if err != nil {
		return nil, fmt.Errorf("answer %q", head)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return nil, err
	}
	return b[:n], nil
}

// Values of all sizes arrive complete and in order on one connection, although the
// backend sends them in pieces of random size, one with a pause of 2 s.
func TestLargeValuesInPieces(t *testing.T) {
	sizes := []int{1, resp.MaxValueBytes, resp.MaxValueBytes + 1, 5, 1 << 20, 100, resp.MaxLargeValueBytes, 3}
	backend := scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
		id := requestID(args)
		b := []byte(encodeValue(randomValue(id, sizes[id])))
		r := rand.New(rand.NewPCG(uint64(id), 2))
		for len(b) > 0 {
			k := min(len(b), 1+r.IntN(1+len(b)/3))
			if len(b) > 100 && r.IntN(4) == 0 {
				k = 1
			}
			nc.Write(b[:k])
			b = b[k:]
			if sizes[id] == resp.MaxValueBytes+1 && len(b) < 30000 && len(b) > 100 {
				time.Sleep(2 * time.Second)
				nc.Write(b)
				b = nil
			}
			time.Sleep(time.Millisecond)
		}
		return ""
	})
	list := endpointList(backend.Addr)
	addr, _ := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	var all string
	for id := range sizes {
		all += encodeRead(id, readFields)
	}
	io.WriteString(nc, all)
	for id, size := range sizes {
		v, err := readValue(in)
		if err != nil || !bytes.Equal(v, randomValue(id, size)) {
			t.Fatalf("value %d of %d bytes: got %d bytes, %v; not what the backend sent", id, size, len(v), err)
		}
	}
}

// Guards against a value that is served as a whole although it has another length than its header states: the end of a
// long one was passed on before the backend's own line end had been seen.
func TestValueOfWrongLengthIsNotServed(t *testing.T) {
	type wrongLength struct{ size, stated int }
	var cases []wrongLength
	for _, size := range []int{100, 1000, resp.MaxValueBytes + 1, 100_000, 1 << 20} {
		// Up to 12 bytes follow a value, so that a length which is a little too high may end at another line end.
		for _, excess := range []int{-size / 5, -13, -12, -10, -7, -5, -2, -1, 1, 2, 3, 5, 7, 8, 10, 12, 13, 20_000} {
			cases = append(cases, wrongLength{size, size + excess})
		}
		cases = append(cases, wrongLength{size, size / 10}, wrongLength{size, size * 10}) // one digit fewer or more
	}
	backend := scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
		c := cases[requestID(args)]
		value := bytes.ReplaceAll(randomValue(1, c.size), []byte("ab"), []byte("\r\n")) // values may have line ends
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", c.stated, value)
	})
	list := endpointList(backend.Addr)
	addr, _ := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	var clients sync.WaitGroup
	for id, c := range cases {
		clients.Go(func() {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(nc, encodeRead(id, readFields))
			answer, err := io.ReadAll(&untilLineEnd{nc: nc, bytes: c.stated})
			if len(answer) > 0 && answer[0] == '$' && err == nil {
				t.Errorf("a value of %d bytes with a stated length of %d was served as a whole", c.size, c.stated)
			}
		})
	}
	clients.Wait()
}

// untilLineEnd reads an answer that is an error line, or a value of so many bytes. It returns an error if the
// connection ends before.
type untilLineEnd struct {
	nc    net.Conn
	bytes int
	read  []byte
}

// Read implements io.Reader.
func (u *untilLineEnd) Read(p []byte) (int, error) {
	header := fmt.Sprintf("$%d\r\n", u.bytes)
	switch {
	case len(u.read) > 0 && u.read[0] != '$' && bytes.HasSuffix(u.read, []byte("\r\n")),
		len(u.read) >= len(header)+u.bytes+len("\r\n"):
		return 0, io.EOF
	}
	n, err := u.nc.Read(p)
	u.read = append(u.read, p[:n]...)
	if err != nil {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// If a backend's value ends early, the client's connection is closed before the value
// is complete. A value with an invalid length is a failure. A client that disconnects
// within a value ends the attempt.
func TestTruncatedLargeValue(t *testing.T) {
	ended := make(chan struct{}, 9)
	backend := scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
		switch requestID(args) {
		case 1:
			io.WriteString(nc, encodeValue(randomValue(1, 1<<20))[:500000])
			nc.Close()
		case 2:
			return fmt.Sprintf("*3\r\n$%d\r\nxxx", resp.MaxLargeValueBytes+1)
		case 3:
			return "*3\r\n$-77777\r\nxxx"
		case 4:
			go func() {
				for {
					if _, err := nc.Write(randomValue(4, 64<<10)); err != nil {
						ended <- struct{}{}
						return
					}
				}
			}()
			return fmt.Sprintf("*3\r\n$%d\r\n", resp.MaxLargeValueBytes)
		}
		return servedReply
	})
	list := endpointList(backend.Addr)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	instance, _ := runIngress(t, cfg)
	nc, in := dial(t, instance.Addr().String())
	io.WriteString(nc, encodeRead(1, readFields))
	if v, err := readValue(in); err == nil {
		t.Fatalf("a truncated value was answered as a complete one of %d bytes", len(v))
	}
	nc, in = dial(t, instance.Addr().String())
	for id := 2; id <= 3; id++ {
		io.WriteString(nc, encodeRead(id, readFields))
		if l := readLine(t, in); l[0] != '-' {
			t.Fatalf("a value with an invalid length was answered %q", l)
		}
	}
	io.WriteString(nc, encodeRead(4, readFields))
	if _, err := io.ReadFull(in, make([]byte, 1<<20)); err != nil {
		t.Error(err)
	}
	nc.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt goes on after its client has disconnected")
	}
	eventually(t, 5*time.Second, "no request is open", func() bool {
		return metricValue(t, instance, "current") == 0
	})
	answered := metricValue(t, instance, "transactions.read.answered")
	errored := metricValue(t, instance, "transactions.read.errored")
	if answered != 0 || errored == 0 {
		t.Errorf("answered %d, errored %d: want only errors, since no value was complete", answered, errored)
	}
}

// Many clients that read large values slowly need little memory each, and do not
// delay other clients.
func TestSlowReadersOfLargeValues(t *testing.T) {
	const readers, size, other = 200, resp.MaxLargeValueBytes, 1000
	// All readers share one byte slice, since a string would be copied for each write.
	value := []byte(encodeValue(randomValue(0, size)))
	backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
		if requestID(args) == other {
			return servedReply
		}
		go nc.Write(value)
		return ""
	})
	// An instance opens up to 48 connections to a backend. An attempt leaves the window
	// while its large value is still being transferred, so a 49th request may be sent
	// to the same backend. It is rejected after 5 s, and the client retries it.
	list := endpointList(slices.Repeat([]string{backend.Addr}, 24)...)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Sockets, cfg.Memory = 1024, 32<<20
	addr, _ := startInstance(t, cfg)
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapInuse + m.StackInuse)
	}
	before := heap()
	var wg sync.WaitGroup
	var begun sync.WaitGroup
	stop := make(chan struct{})
	for id := range readers {
		nc, in := dial(t, addr)
		begun.Add(1)
		wg.Go(func() {
			if err := nc.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Error(err)
			}
			readSlowly(t, nc, in, id, &begun, stop)
		})
	}
	begun.Wait()
	time.Sleep(time.Second)
	used := heap() - before
	t.Logf("%d values of %d bytes in transfer: %d KiB per reader", readers, size, used/readers>>10)
	if used > 20<<20 { // includes the test's clients and backends; the rest of 32 MB is for the program itself
		t.Errorf("%d values of %d bytes in transfer use %d bytes", readers, size, used)
	}
	nc, in := dial(t, addr)
	began := time.Now()
	io.WriteString(nc, encodeRead(other, readFields))
	requireValue(t, in)
	if d := time.Since(began); d > time.Second {
		t.Errorf("another request took %v", d)
	}
	close(stop)
	wg.Wait()
}

// readSlowly requests a large value and reads it slowly until stop is closed. It
// retries a rejected request up to three times, and calls begun.Done when the value
// begins or the retries are exhausted.
func readSlowly(
	t *testing.T,
	nc net.Conn,
	in *bufio.Reader,
	id int,
	begun *sync.WaitGroup,
	stop <-chan struct{},
) {
	head := ""
	for attempt := range 4 {
		io.WriteString(nc, encodeRead(id+attempt<<16, readFields))
		if head, _ = in.ReadString('\n'); !strings.HasPrefix(head, "-BUSY") {
			break
		}
	}
	begun.Done()
	if !strings.HasPrefix(head, "$") {
		t.Errorf("a slow reader got %q instead of a value", head)
		return
	}
	piece := make([]byte, 64)
	for {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
			if _, err := io.ReadFull(in, piece); err != nil {
				t.Errorf("a slow reader was cut off: %v", err)
				return
			}
		}
	}
}

// A body of up to 4 MiB is forwarded unchanged. If there is no memory for it, the
// request is rejected and the connection stays open. A longer body is an error.
func TestLargeBodies(t *testing.T) {
	got := make(chan []string, 4)
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		got <- args
		return servedReply
	})
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Memory = 32 << 20 // of which 4 MiB are for incoming commands
	addr, _ := startInstance(t, cfg)
	write := func(id, size int) string {
		return encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id),
			"c=write,t=p,d=50000,units=1,spread=1,first=0", string(randomValue(id, size)))
	}
	nc, in := dial(t, addr)
	text := write(1, 1<<20)
	for from := 0; from < len(text); {
		n := min(len(text)-from, 100000)
		io.WriteString(nc, text[from:from+n])
		from += n
	}
	requireValue(t, in)
	if args := <-got; len(args) != 5 || args[4] != string(randomValue(1, 1<<20)) {
		t.Fatalf("the backend got %d arguments, want 5 with the unchanged body", len(args))
	}
	go io.WriteString(nc, write(2, resp.MaxLargeValueBytes)+encodeRead(3, readFields))
	if l := readLine(t, in); l != "-BUSY 250" {
		t.Fatalf("a body without memory for it: %q", l)
	}
	requireValue(t, in)
	go io.WriteString(nc, write(4, resp.MaxLargeValueBytes+1))
	if l := readLine(t, in); l != "-ERR value too long" {
		t.Fatalf("a body that is too long: %q", l)
	}
}

// A client may take 2 s to send the fields of a command, and longer to send a body
// that makes progress.
func TestSlowCommand(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	addr, _ := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	for name, c := range map[string]struct {
		text  string
		piece int
		pause time.Duration
	}{
		"head": {encodeRead(1, readFields), 12, 200 * time.Millisecond},
		"body": {encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 2),
			"c=write,t=p,d=50000,units=1,spread=1,first=0",
			strings.Repeat("x", 60000)), 2000, 110 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, in := dial(t, addr)
			time.Sleep(300 * time.Millisecond)
			for from := 0; from < len(c.text); from += c.piece {
				io.WriteString(nc, c.text[from:min(len(c.text), from+c.piece)])
				time.Sleep(c.pause)
			}
			requireValue(t, in)
		})
	}
}
