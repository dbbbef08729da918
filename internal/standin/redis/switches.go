package redis

import (
	"net"
	"time"
)

// update changes the server's state under the group's mutex.
func (s *Server) update(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
}

// SetLoading makes the server answer commands with LOADING for d.
func (s *Server) SetLoading(d time.Duration) { s.update(func() { s.loadingUntil = time.Now().Add(d) }) }

// SetSilent sets whether the server accepts connections and commands without ever replying.
func (s *Server) SetSilent(on bool) { s.update(func() { s.silent = on }) }

// SetOutOfMemory sets whether the server answers writes with OOM.
func (s *Server) SetOutOfMemory(on bool) { s.update(func() { s.outOfMemory = on }) }

// SetReadOnly sets whether the server answers writes with READONLY.
func (s *Server) SetReadOnly(on bool) { s.update(func() { s.readOnly = on }) }

// MaxClients sets the connection limit. Connections beyond it receive an error and are closed.
func (s *Server) MaxClients(n int) { s.update(func() { s.options.MaxClients = n }) }

// ForgetScripts empties the script cache.
func (s *Server) ForgetScripts() { s.update(func() { s.scripts.flush() }) }

// DisconnectAll resets all connections.
func (s *Server) DisconnectAll() { s.update(s.dropClients) }

// Flush deletes all keys but leaves connections open, like a failover behind a proxy.
func (s *Server) Flush() { s.update(func() { clear(s.dbs) }) }

// SetAcceptFilter sets a filter for new connections: those for which it returns false are reset. With a nil filter all
// are served.
func (s *Server) SetAcceptFilter(serves func(net.Conn) bool) {
	s.update(func() { s.acceptFilter = serves })
}
