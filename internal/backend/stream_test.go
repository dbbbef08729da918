package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/resp"
)

// pieces is how a backend writes a reply with a large value: in so many pieces, with a pause before each but the first.
type pieces struct {
	size, count int
	pause       time.Duration
}

// receive lets a connection read the reply, and returns how many bytes of the value were forwarded, and after how long
// and with which error the value ended.
func (p pieces) receive() (forwarded int64, took time.Duration, err error) {
	client, server := net.Pipe()
	c := &conn{backend: &backendPool{}, nc: client, readerDone: make(chan struct{})}
	started := make(chan *Stream, 1)
	go c.read(context.Background(), func(ev Event) {
		if ev, ok := ev.(streamStarted); ok {
			started <- ev.stream
		}
	})
	written := make(chan struct{})
	defer func() {
		client.Close()
		<-written
	}()
	go func() {
		defer close(written)
		reply := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", p.size, strings.Repeat("v", p.size))
		for i := range p.count {
			if i > 0 {
				time.Sleep(p.pause)
			}
			from, to := i*len(reply)/p.count, (i+1)*len(reply)/p.count
			if _, err := io.WriteString(server, reply[from:to]); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	forwarded, err = io.Copy(io.Discard, <-started)
	return forwarded, time.Since(began), err
}

// Guards against a long value that is cut off although its backend still writes it, whenever its client's time is up.
func TestLargeValueInPiecesIsForwardedWhole(t *testing.T) {
	for _, size := range []int{resp.MaxValueBytes + 1, 179_132, resp.MaxLargeValueBytes} {
		for _, count := range []int{2, 3, 50} {
			for _, pause := range []time.Duration{
				time.Millisecond, 249 * time.Millisecond, 900 * time.Millisecond, 4 * time.Second,
				streamStallTimeout - time.Millisecond,
			} {
				synctest.Test(t, func(t *testing.T) {
					p := pieces{size, count, pause}
					if n, took, err := p.receive(); n != int64(size) || err != nil {
						t.Errorf("%+v: %d bytes were forwarded in %v, %v, want all", p, n, took, err)
					}
				})
			}
		}
	}
}

// A value whose backend falls silent ends streamStallTimeout after its last bytes, neither sooner nor later.
func TestLargeValueEndsAfterStall(t *testing.T) {
	for _, count := range []int{2, 3, 50} {
		synctest.Test(t, func(t *testing.T) {
			p := pieces{resp.MaxValueBytes + 10_000, count, streamStallTimeout + time.Second}
			n, took, err := p.receive()
			if n >= int64(p.size) || err == nil || took != streamStallTimeout {
				t.Errorf("%+v: %d bytes in %v, %v, want an error after %v", p, n, took, err, streamStallTimeout)
			}
		})
	}
}
