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

// Do carries out one line: a command of the control port, or a fault rule for commands of clients.
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
	args := strings.Fields(line)
	if len(args) == 0 {
		return fmt.Errorf("fault %q: nothing to do", line)
	}
	switch args[0] {
	case "stop", "silent", "full", "readonly", "load", "lag":
		return s.doFor(line, args)
	case "restart":
		if len(args) > 1 {
			return s.doFor(line, args)
		}
		s.Restart(0)
	case "maxclients":
		n := 0
		if len(args) == 2 {
			n, _ = strconv.Atoi(args[1]) // 0 if it can't be read, which is rejected
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
		return s.doFailover(line, len(args) == 2 && args[1] == "split")
	default:
		return s.doFault(line, args[0])
	}
	return nil
}

// doFor carries out a line with a duration.
func (s *Server) doFor(line string, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("fault %q: %s wants a duration", line, args[0])
	}
	duration, err := time.ParseDuration(args[1])
	if err != nil || duration < 0 {
		return fmt.Errorf("fault %q: %q is no duration", line, args[1])
	}
	switch args[0] {
	case "stop":
		s.Stop()
		s.after(duration, func() { _ = s.Listen() }) // clients see that no connection comes up
	case "restart":
		s.Restart(duration)
	case "silent":
		s.setFor(duration, s.Silent)
	case "full":
		s.setFor(duration, s.Full)
	case "readonly":
		s.setFor(duration, s.ReadOnly)
	case "load":
		s.Load(duration)
	case "lag":
		s.group.SetLag(duration)
	}
	return nil
}

// setFor turns a switch on for a while.
func (s *Server) setFor(duration time.Duration, set func(bool)) {
	set(true)
	s.after(duration, func() { set(false) })
}

// after calls do after a while, unless the server is closed before.
func (s *Server) after(duration time.Duration, do func()) {
	s.wg.Go(func() {
		if s.sleep(duration) {
			do()
		}
	})
}

// doFailover makes the first replica the primary.
func (s *Server) doFailover(line string, split bool) error {
	s.group.mu.Lock()
	var replica *Server
	for _, other := range s.group.servers {
		if other.master != nil && replica == nil {
			replica = other
		}
	}
	old := s.group.primary
	s.group.mu.Unlock()
	if replica == nil {
		return fmt.Errorf("fault %q: there is no replica", line)
	}
	s.group.Failover(replica, split)
	if !split {
		old.Kick()
	}
	return nil
}

// doFault puts the rule of a line in force.
func (s *Server) doFault(line, kind string) error {
	rule, err := fault.Parse(line)
	if err != nil {
		return err
	}
	if !supportedKinds[rule.Kind] {
		return fmt.Errorf("fault %q: unknown word %q", line, kind)
	}
	s.Fault(rule)
	return nil
}

// supportedKinds holds the kinds of fault that can hit a command.
var supportedKinds = map[fault.Kind]bool{
	fault.Delay: true, fault.Hold: true, fault.Stall: true, fault.Ignore: true, fault.Swallow: true, fault.Late: true,
	fault.DropBefore: true, fault.DropAfter: true, fault.Repeat: true, fault.Swap: true, fault.Cut: true,
	fault.Fail: true,
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
		_ = json.NewEncoder(w).Encode(s.Records()) // fails only if the client has gone
	})
	return mux
}
