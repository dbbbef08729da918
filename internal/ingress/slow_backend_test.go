package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/standin/scripted"
)

// Guards against a final answer that comes seconds late because a backend reads a
// large request slowly or stops reading it.
func TestSlowReadOfLargeRequestDelaysNoAnswer(t *testing.T) {
	t.Parallel()
	const maxLateness = 500 * time.Millisecond
	readers := map[string]func(net.Conn){
		"stops":     func(net.Conn) { <-t.Context().Done() },
		"16 KiB/s":  func(nc net.Conn) { readAtRate(nc, 1600, 100*time.Millisecond) },
		"512 KiB/s": func(nc net.Conn) { readAtRate(nc, 52_000, 100*time.Millisecond) },
	}
	for name, read := range readers {
		addr := scripted.Listen(t, func(nc net.Conn) {
			if err := nc.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				return
			}
			read(nc)
		})
		for _, class := range []string{"read", "write", "keyed"} {
			for _, size := range []int{200 << 10, 1 << 20, resp.MaxLargeValueBytes} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", name, class, size), func(t *testing.T) {
					t.Parallel()
					answer, took := sendLargeRequest(t, addr, class, size)
					if took > slowReadWait+maxLateness {
						t.Errorf("%q came %v after the request, which had %v", answer, took, slowReadWait)
					}
				})
			}
		}
	}
}

// slowReadWait is how long the client of a large request waits.
const slowReadWait = time.Second

// sendLargeRequest sends a request with a body through an ingress of its own, and returns the first line of its answer
// and how long after the request it came.
func sendLargeRequest(t *testing.T, backend, class string, size int) (answer string, took time.Duration) {
	t.Helper()
	list := endpointList(backend, backend, backend)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging = 3, true
	addr, _ := startIngress(t, cfg)
	nc, in := dial(t, addr)
	fields := strings.Replace(readFields, "d=50000", fmt.Sprintf("d=%d,k=key", slowReadWait.Milliseconds()), 1)
	command := "Q.DO"
	if class == "read" {
		command = "Q.ASK"
	}
	fields = strings.Replace(fields, "c=read", "c="+class, 1)
	body := strings.Repeat("b", size)
	text := encodeCommand(command, "00000000b4d65521", fmt.Sprintf("%016x", 1), fields, body)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	answer = readLine(t, in)
	return answer, time.Since(sent)
}

// readAtRate reads up to so many bytes in each interval until the connection ends.
func readAtRate(nc net.Conn, bytes int64, interval time.Duration) {
	for {
		if _, err := io.CopyN(io.Discard, nc, bytes); err != nil {
			return
		}
		time.Sleep(interval)
	}
}
