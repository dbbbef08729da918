package redis

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// connect dials, logs in and verifies that the server is a primary.
func (s *shard) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ConnectTimeout)
	defer cancel()
	if len(s.options.Sentinels) > 0 {
		addr, err := s.querySentinels(ctx)
		if err != nil {
			return nil, err
		}
		s.addr = addr
	}
	c, err := s.dial(ctx, s.addr)
	if err != nil {
		s.addr = s.options.Address // an address learned from a MOVED reply may be outdated
		return nil, err
	}
	if err := s.handshake(c); err != nil {
		c.nc.Close()
		return nil, err
	}
	return c, nil
}

// dial connects, with TLS if configured. The deadline of ctx becomes the connection's deadline.
func (s *shard) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := s.options.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	nc.SetDeadline(deadline)
	if s.options.TLS != nil {
		nc, err = s.startTLS(ctx, nc, addr)
		if err != nil {
			return nil, err
		}
	}
	return &conn{
		nc:         nc,
		pending:    make(chan pendingWrite, shardQueueSize),
		readerDone: make(chan struct{}),
		wakeWriter: make(chan struct{}, 1),
	}, nil
}

// startTLS performs the TLS handshake on a connection, and closes the connection if it fails.
func (s *shard) startTLS(ctx context.Context, nc net.Conn, addr string) (net.Conn, error) {
	cfg, err := s.options.TLS()
	if err != nil {
		nc.Close()
		return nil, err
	}
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	client := tls.Client(nc, cfg)
	if err := client.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, fmt.Errorf("TLS: %w", err)
	}
	return client, nil
}

// Names of the handshake steps, used in errors.
const (
	stepLogin    = "log-in"
	stepDatabase = "database"
	stepName     = "name"
	stepRole     = "role"
	stepScript   = "script"
)

// handshake logs in, sets the connection's name, checks the server's role and loads the script, in one round trip.
func (s *shard) handshake(c *conn) error {
	commands, steps, err := s.handshakeCommands()
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(commands); err != nil {
		return err
	}
	for _, step := range steps {
		frame, err := c.frame()
		if err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
		if err := checkHandshakeReply(step, frame); err != nil {
			return err
		}
	}
	c.nc.SetDeadline(time.Time{})
	return nil
}

// handshakeCommands returns the encoded commands of a handshake and the step name of each command.
func (s *shard) handshakeCommands() (commands []byte, steps []string, err error) {
	add := func(step string, args ...string) {
		commands = appendCommand(commands, args...)
		steps = append(steps, step)
	}
	if s.options.Password != nil {
		password, err := s.options.Password()
		if err != nil {
			return nil, nil, fmt.Errorf("password: %w", err)
		}
		if s.options.Username != "" {
			add(stepLogin, "AUTH", s.options.Username, password)
		} else {
			add(stepLogin, "AUTH", password)
		}
	}
	if s.options.Database > 0 {
		add(stepDatabase, "SELECT", strconv.Itoa(s.options.Database))
	}
	add(stepName, "CLIENT", "SETNAME", "hitchspring-"+s.instanceID+"-"+strconv.Itoa(s.index))
	add(stepRole, "ROLE")
	add(stepScript, "SCRIPT", "LOAD", addScript)
	return commands, steps, nil
}

// appendCommand appends a command encoded in RESP2.
func appendCommand(b []byte, args ...string) []byte {
	b = redcon.AppendArray(b, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return b
}

// checkHandshakeReply returns an error if the server cannot be used. Other error replies are ignored: adds work without
// a connection name, a known role or a loaded script, or else their own replies report the error.
func checkHandshakeReply(step string, frame []byte) error {
	if frame[0] != '-' {
		if step == stepRole && !bytes.HasPrefix(frame, []byte("*3\r\n$6\r\nmaster\r\n")) {
			return errNotPrimary
		}
		return nil
	}
	reply := redisError(bytes.TrimSpace(frame[1:]))
	required := step == stepLogin || step == stepDatabase
	if required || strings.Contains(string(reply), "max number of clients") || reply.unavailable() {
		return fmt.Errorf("%s: %w", step, reply)
	}
	return nil
}

// querySentinels queries the Sentinels one after the other until one returns the primary's address.
func (s *shard) querySentinels(ctx context.Context) (string, error) {
	lastErr := errPrimaryUnknown
	timeout := s.options.ConnectTimeout / time.Duration(len(s.options.Sentinels)+1)
	for _, sentinel := range s.options.Sentinels {
		queryCtx, cancel := context.WithTimeout(ctx, timeout)
		addr, err := s.querySentinel(queryCtx, sentinel)
		cancel()
		if err == nil {
			return addr, nil
		}
		lastErr = fmt.Errorf("querying Sentinel %s: %w", sentinel, err)
	}
	return "", lastErr
}

func (s *shard) querySentinel(ctx context.Context, sentinel string) (string, error) {
	c, err := s.dial(ctx, sentinel)
	if err != nil {
		return "", err
	}
	defer c.nc.Close()
	command := appendCommand(nil, "SENTINEL", "get-master-addr-by-name", s.options.Master)
	if _, err := c.nc.Write(command); err != nil {
		return "", err
	}
	frame, err := c.frame()
	if err != nil {
		return "", err
	}
	_, reply := redcon.ReadNextRESP(frame)
	var parts []string
	if reply.Type == redcon.Array {
		reply.ForEach(func(element redcon.RESP) bool {
			parts = append(parts, string(element.Data))
			return true
		})
	}
	if len(parts) != 2 { // host and port
		return "", fmt.Errorf("%w as %q", errPrimaryUnknown, s.options.Master)
	}
	return net.JoinHostPort(parts[0], parts[1]), nil
}
