package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// runCounter counts the commands that backends have received, by request id.
type runCounter struct {
	mu   sync.Mutex // guards runs
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) count(id int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[fmt.Sprintf("%016x", id)]
}

// Guards against a request with effects that runs twice because its client leaves and
// sends it once more, with the same id: while an attempt is out, at its deadline, and
// after it.
func TestRequestOfClientThatLeftRunsOnce(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"write", "keyed"} {
		for _, returnsAfter := range []time.Duration{50, 250, 310, 600, 1500} {
			t.Run(fmt.Sprintf("%s, back after %d ms", class, returnsAfter), func(t *testing.T) {
				t.Parallel()
				runs := &runCounter{runs: map[string]int{}}
				backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
					runs.add(args[2])
					time.Sleep(100 * time.Millisecond)
					return scripted.Served
				})
				list := endpointList(backend.Addr, backend.Addr)
				cfg := testConfig(scripted.Registry(t, list, nil), list)
				addr, _ := startInstance(t, cfg)
				fields := strings.Replace(readFields, "c=read", "c="+class, 1)
				fields = strings.Replace(fields, "d=50000", "d=300,k=key", 1)
				command := encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 7), fields)
				first, _ := dial(t, addr)
				io.WriteString(first, command)
				eventually(t, 5*time.Second, "the request runs", func() bool { return runs.count(7) == 1 })
				first.Close()
				time.Sleep(returnsAfter * time.Millisecond)
				second, in := dial(t, addr)
				io.WriteString(second, command)
				if answer := readLine(t, in); !strings.HasPrefix(answer, "-ERR") {
					t.Errorf("the second request was answered %q, want a failure", answer)
				}
				if got := runs.count(7); got != 1 {
					t.Errorf("the request ran %d times, want once", got)
				}
			})
		}
	}
}

// An id may be used again if its request never ran: the client may send once more what
// crossed the end of its connection.
func TestRequestThatNeverRanMayComeAgain(t *testing.T) {
	t.Parallel()
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return "-BUSY\r\n" })
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.Classes = append(cfg.Settings.Classes, testClass("short", policy.Unsafe))
	addr, _ := startInstance(t, cfg)
	nc, in := dial(t, addr)
	fields := strings.Replace(readFields, "c=read", "c=short", 1)
	fields = strings.Replace(fields, "d=50000", "d=200", 1)
	for range 3 {
		io.WriteString(nc, encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 7), fields))
		if answer := readLine(t, in); !strings.HasPrefix(answer, "-BUSY") {
			t.Errorf("the request was answered %q, want a rejection", answer)
		}
	}
}
