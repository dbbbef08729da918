package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// Guards against a long value that is cut off because its header comes in pieces: by a limit on the time of a reply, or
// by the time after which an attempt of a class that is safe to repeat makes room for another one.
func TestLongValueWhoseHeaderPausesIsServed(t *testing.T) {
	const (
		size   = 200 << 10
		warmUp = 10 // requests from which the engine learns how long an attempt takes
	)
	for _, class := range []struct{ name, command string }{{"read", "Q.ASK"}, {"write", "Q.DO"}} {
		for _, cut := range []int{1, 4, 8, 12} {
			t.Run(fmt.Sprintf("%s cut at %d", class.name, cut), func(t *testing.T) {
				t.Parallel()
				backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
					id := requestID(args)
					if id < warmUp {
						return servedReply
					}
					reply := encodeValue(randomValue(id, size))
					io.WriteString(nc, reply[:cut])
					time.Sleep(700 * time.Millisecond)
					return reply[cut:]
				})
				list := endpointList(backend.Addr)
				cfg := testConfig(scripted.Registry(t, list, nil), list)
				cfg.Settings.MaxAttempts, cfg.Settings.Hedging = 2, false
				for i := range cfg.Settings.Classes {
					cfg.Settings.Classes[i].LatencyObjective = 300 * time.Millisecond
				}
				addr, _ := startInstance(t, cfg)
				fields := strings.Replace(readFields, "c=read", "c="+class.name, 1)
				nc, in := dial(t, addr)
				ask := func(id int) {
					number := fmt.Sprintf("%016x", id)
					io.WriteString(nc, encodeCommand(class.command, "00000000b4d65521", number, fields))
				}
				for id := range warmUp {
					ask(id)
					requireValue(t, in)
				}
				ask(warmUp)
				requireLongValue(t, in, randomValue(warmUp, size))
				if n := len(backend.Commands()); n != warmUp+1 {
					t.Errorf("%d commands were forwarded, want %d", n, warmUp+1)
				}
			})
		}
	}
}

func requireLongValue(t *testing.T, in *bufio.Reader, want []byte) {
	t.Helper()
	if got, err := readValue(in); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got %d bytes, %v, want the value of %d bytes", len(got), err, len(want))
	}
}
