package redis

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// Do carries out one line: a word of the server's own, or a fault rule for commands.
//
//	stop DURATION         end all connections and refuse new ones
//	restart [DURATION]    the same, and forget all keys and scripts
//	silent DURATION       accept and never answer
//	load DURATION         answer LOADING
//	full DURATION         answer writes with OOM
//	readonly DURATION     answer writes with READONLY
//	maxclients N          hold so many connections
//	flush                 forget all keys
//	forget-scripts        forget all scripts
//	kick                  end all connections
//	lag DURATION          of the replicas
//	failover [split]      make the first replica the primary; split: the old one goes on taking writes
func (s *Server) Do(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return fmt.Errorf("fault %q: nothing to do", line)
	}
	d := time.Duration(0)
	wants := func() (err error) {
		if len(words) != 2 {
			return fmt.Errorf("fault %q: %s wants a duration", line, words[0])
		}
		if d, err = time.ParseDuration(words[1]); err != nil || d < 0 {
			return fmt.Errorf("fault %q: %q is no duration", line, words[1])
		}
		return nil
	}
	later := func(undo func()) {
		s.wg.Go(func() {
			if s.sleep(d) {
				undo()
			}
		})
	}
	switch words[0] {
	case "stop":
		if err := wants(); err != nil {
			return err
		}
		s.Stop()
		later(func() { s.Listen() })
	case "restart":
		if len(words) > 1 {
			if err := wants(); err != nil {
				return err
			}
		}
		s.Restart(d)
	case "silent", "full", "readonly":
		if err := wants(); err != nil {
			return err
		}
		set := map[string]func(bool){"silent": s.Silent, "full": s.Full, "readonly": s.ReadOnly}[words[0]]
		set(true)
		later(func() { set(false) })
	case "load":
		if err := wants(); err != nil {
			return err
		}
		s.Load(d)
	case "lag":
		if err := wants(); err != nil {
			return err
		}
		s.group.SetLag(d)
	case "maxclients":
		n := 0
		if len(words) == 2 {
			n, _ = strconv.Atoi(words[1])
		}
		if n < 1 {
			return fmt.Errorf("fault %q: maxclients wants a number", line)
		}
		s.MaxClients(n)
	case "flush":
		s.Flush()
	case "forget-scripts":
		s.ForgetScripts()
	case "kick":
		s.Kick()
	case "failover":
		s.group.mu.Lock()
		var to *Server
		for _, o := range s.group.servers {
			if o.master != nil && to == nil {
				to = o
			}
		}
		old := s.group.primary
		s.group.mu.Unlock()
		if to == nil {
			return fmt.Errorf("fault %q: there is no replica", line)
		}
		split := len(words) == 2 && words[1] == "split"
		s.group.Failover(to, split)
		if !split {
			old.Kick()
		}
	default:
		r, err := fault.Parse(line)
		if err != nil {
			return err
		}
		if !supportedKinds[r.Kind] {
			return fmt.Errorf("fault %q: unknown word %q", line, words[0])
		}
		s.Fault(r)
	}
	return nil
}

// known are the fault kinds that commands can be hit with.
var supportedKinds = map[fault.Kind]bool{
	fault.Delay: true, fault.Hold: true, fault.Stall: true, fault.Ignore: true, fault.Swallow: true, fault.Late: true,
	fault.DropBefore: true, fault.DropAfter: true, fault.Repeat: true, fault.Swap: true, fault.Cut: true, fault.Fail: true,
}

// Control serves the fault script and the record over HTTP: POST a line to /fault, DELETE /fault ends all rules, GET
// /records has what came as JSON.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, 4<<10))
		if err == nil {
			err = s.Do(strings.TrimSpace(string(b)))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("DELETE /fault", func(w http.ResponseWriter, _ *http.Request) {
		s.faults.Clear()
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s.Records())
	})
	return mux
}
