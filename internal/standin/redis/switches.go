package redis

import (
	"net"
	"time"
)

// set changes a switch of the server.
func (s *Server) update(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
}

// Load answers LOADING for a while.
func (s *Server) Load(d time.Duration) { s.update(func() { s.loading = time.Now().Add(d) }) }

// Silent makes the server accept and never answer, or ends that.
func (s *Server) Silent(on bool) { s.update(func() { s.silent = on }) }

// Full makes it answer writes with OOM, or ends that.
func (s *Server) Full(on bool) { s.update(func() { s.full = on }) }

// ReadOnly makes it answer writes with READONLY, or ends that.
func (s *Server) ReadOnly(on bool) { s.update(func() { s.readonly = on }) }

// MaxClients sets how many connections it holds; further ones are answered with an error and closed.
func (s *Server) MaxClients(n int) { s.update(func() { s.options.MaxClients = n }) }

// ForgetScripts empties the cache of scripts.
func (s *Server) ForgetScripts() { s.update(func() { s.scripts.flush() }) }

// Kick ends all connections.
func (s *Server) Kick() { s.update(s.dropClients) }

// Flush forgets all keys and keeps the connections, as a failover behind a proxy would.
func (s *Server) Flush() { s.update(func() { clear(s.dbs) }) }

// NextConnections sets a filter that decides for each new connection whether it is served; others are reset. nil
// serves all.
func (s *Server) NextConnections(serves func(net.Conn) bool) {
	s.update(func() { s.acceptFilter = serves })
}
