package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// hiddenBurst is a burst of commands that is longer than what the ingress reads ahead and
// both kernels hold, so that the client's end is not seen behind it.
type hiddenBurst struct {
	commands, bodyBytes int
	memory              int // of the ingress, in bytes
}

func (b hiddenBurst) text() (text string, ids []int) {
	var all strings.Builder
	fields := strings.Replace(readFields, "d=50000", "d=4000", 1)
	body := strings.Repeat("b", b.bodyBytes)
	for id := 1; id <= b.commands; id++ {
		ids = append(ids, id)
		all.WriteString(encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", id), fields, body))
	}
	return all.String(), ids
}

// start starts an ingress whose backends take so long for each request.
func (b hiddenBurst) start(t *testing.T, took time.Duration, received func(args []string)) (string, *Instance) {
	t.Helper()
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		received(args)
		time.Sleep(took)
		return scripted.Served
	})
	list := endpointList(backend.Addr, backend.Addr, backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Memory = b.memory
	return startInstance(t, cfg)
}

var hiddenBursts = []hiddenBurst{
	{250, 60_000, 192 << 20},
	{250, 60_000, 64 << 20},
	{250, 60_000, 32 << 20},
	{4000, 4_000, 64 << 20},
	{40, 1_000_000, 192 << 20},
}

// Guards against requests that are sent on for a client that has closed its connection
// behind more than the kernels hold: its end has not even arrived.
func TestNothingIsSentForClientsWhoseEndIsHidden(t *testing.T) {
	const writeTime = 100 * time.Millisecond
	for i, burst := range hiddenBursts {
		for _, reset := range []bool{false, true} {
			if reset && i > 0 { // a reset is seen at once, whatever stands before it
				continue
			}
			t.Run(fmt.Sprintf("%+v, reset %v", burst, reset), func(t *testing.T) {
				disconnects := newDisconnectLog()
				addr, instance := burst.start(t, 300*time.Millisecond, disconnects.noteAttempt)
				text, ids := burst.text()
				nc, _ := dial(t, addr)
				nc.SetWriteDeadline(time.Now().Add(writeTime))
				io.WriteString(nc, text)
				disconnects.close(nc, reset, ids...)
				time.Sleep(time.Second)
				eventually(t, 10*time.Second, "nothing is open", func() bool {
					return instance.core.Metrics().OpenRequests() == 0
				})
				disconnects.check(t)
			})
		}
	}
}

// A client that sends as much and stays gets an answer to each of its commands.
func TestClientWithHiddenEndIsAnswered(t *testing.T) {
	for _, burst := range hiddenBursts {
		t.Run(fmt.Sprintf("%+v", burst), func(t *testing.T) {
			t.Parallel()
			addr, _ := burst.start(t, 50*time.Millisecond, func([]string) {})
			text, ids := burst.text()
			nc, in := dial(t, addr)
			nc.SetDeadline(time.Now().Add(30 * time.Second))
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(nc, text)
				written <- err
			}()
			served := 0
			for range ids {
				if requireServedOrRejected(t, in) {
					served++
				}
			}
			if err := <-written; err != nil {
				t.Error(err)
			}
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// requireServedOrRejected reads an answer and reports whether it is a value.
func requireServedOrRejected(t *testing.T, in *bufio.Reader) (served bool) {
	t.Helper()
	line := readLine(t, in)
	switch {
	case strings.HasPrefix(line, "$"):
		readLine(t, in)
		return true
	case !strings.HasPrefix(line, "-BUSY"):
		t.Fatalf("got answer %q", line)
	}
	return false
}
