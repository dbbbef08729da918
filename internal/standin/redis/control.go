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

// Do executes one line of the control port: one of the commands below, or a fault rule (see fault.Parse) for client
// commands.
//
//	stop DURATION         reset all connections and refuse new ones
//	restart [DURATION]    like stop, and delete all keys and scripts
//	silent DURATION       accept connections and commands, but send no replies
//	load DURATION         answer commands with LOADING
//	full DURATION         answer writes with OOM
//	readonly DURATION     answer writes with READONLY
//	maxclients N          set the connection limit
//	flush                 delete all keys
//	forget-scripts        empty the script cache
//	kick                  reset all connections
//	lag DURATION          set the replication lag
//	failover [split]      promote the first replica; with split, the old primary continues to accept writes
func (s *Server) Do(line string) error {
	args := strings.Fields(line)
	if len(args) == 0 {
		return fmt.Errorf("fault %q: empty command", line)
	}
	switch args[0] {
	case "stop", "silent", "full", "readonly", "load", "lag":
		return s.doTimed(line, args)
	case "restart":
		if len(args) > 1 {
			return s.doTimed(line, args)
		}
		s.Restart(0)
	case "maxclients":
		n := 0
		if len(args) == 2 {
			n, _ = strconv.Atoi(args[1]) // n is 0 on an error, which is rejected below
		}
		if n < 1 {
			return fmt.Errorf("fault %q: maxclients requires a positive number", line)
		}
		s.MaxClients(n)
	case "flush":
		s.Flush()
	case "forget-scripts":
		s.ForgetScripts()
	case "kick":
		s.DisconnectAll()
	case "failover":
		return s.doFailover(line, len(args) == 2 && args[1] == "split")
	default:
		return s.doFault(line, args[0])
	}
	return nil
}

// doTimed executes a command that takes a duration.
func (s *Server) doTimed(line string, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("fault %q: %s requires a duration", line, args[0])
	}
	duration, err := time.ParseDuration(args[1])
	if err != nil || duration < 0 {
		return fmt.Errorf("fault %q: invalid duration %q", line, args[1])
	}
	switch args[0] {
	case "stop":
		s.Stop()
		s.after(duration, func() { _ = s.Listen() }) // on an error, clients see refused connections
	case "restart":
		s.Restart(duration)
	case "silent":
		s.enableFor(duration, s.SetSilent)
	case "full":
		s.enableFor(duration, s.SetOutOfMemory)
	case "readonly":
		s.enableFor(duration, s.SetReadOnly)
	case "load":
		s.SetLoading(duration)
	case "lag":
		s.group.SetLag(duration)
	}
	return nil
}

// enableFor turns a state on, and off again after the duration.
func (s *Server) enableFor(duration time.Duration, set func(bool)) {
	set(true)
	s.after(duration, func() { set(false) })
}

// after calls do after the duration, unless the server is closed before.
func (s *Server) after(duration time.Duration, do func()) {
	s.wg.Go(func() {
		if s.sleep(duration) {
			do()
		}
	})
}

// doFailover promotes the first replica. With split, clients stay connected to the old primary.
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
		old.DisconnectAll()
	}
	return nil
}

// doFault parses and adds a fault rule.
func (s *Server) doFault(line, kind string) error {
	rule, err := fault.Parse(line)
	if err != nil {
		return err
	}
	if !supportedKinds[rule.Kind] {
		return fmt.Errorf("fault %q: unsupported fault kind %q", line, kind)
	}
	s.Fault(rule)
	return nil
}

// supportedKinds is the set of fault kinds that this stand-in implements.
var supportedKinds = map[fault.Kind]bool{
	fault.Delay: true, fault.Hold: true, fault.Stall: true, fault.Ignore: true, fault.Swallow: true, fault.Late: true,
	fault.DropBefore: true, fault.DropAfter: true, fault.Repeat: true, fault.Swap: true, fault.Cut: true,
	fault.Fail: true,
}

// Control returns the HTTP handler of the control port. POST /fault executes a line (see Do), DELETE /fault removes
// all fault rules, and GET /records returns the recorded commands as JSON.
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
		_ = json.NewEncoder(w).Encode(s.Records()) // fails only if the client has disconnected
	})
	return mux
}
