package resp

import (
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
)

// handle executes one complete command that arrived at arrivedAt.
func (c *connection) handle(command []byte, arrivedAt time.Time) {
	complete, args, _, _, err := redcon.ReadNextCommand(command, nil)
	if err != nil || !complete || len(args) == 0 {
		c.protocolError("a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		if c.front.Draining() {
			c.replyNow(redcon.AppendError(nil, "ERR draining"))
		} else {
			c.replyNow(redcon.AppendString(nil, "PONG"))
		}
	case "Q.ASK", "Q.DO":
		parsed, err := c.front.parseCommand(args)
		if err != nil {
			c.protocolError(err.Error())
			return
		}
		if c.rejectsCommands() {
			c.rejectOverloaded()
			return
		}
		c.submit(parsed, arrivedAt)
	default:
		c.protocolError("unknown command")
	}
}

// submit submits a valid request to the core, or rejects it if there is no memory for it.
func (c *connection) submit(parsed parsedCommand, arrivedAt time.Time) {
	size := parsed.size()
	if !c.front.core.ReserveMemory(size) {
		c.rejectOverloaded()
		return
	}
	request := c.front.newRequest(parsed, arrivedAt)
	request.MemoryReserved = true
	reply := c.addPending(request)
	if reply == nil {
		c.front.core.ReleaseMemory(size)
		return
	}
	request.Sink = reply
	c.front.core.Submit(request)
}

// rejectBuffered rejects the requests that were already read when a protocol error
// ended the connection, up to the next invalid command. Every request that has been
// read must be answered.
func (c *connection) rejectBuffered() {
	for remaining := c.inbox.BufferedBytes(); remaining > 0 && !c.peerClosed; {
		command, err := c.inbox.Next()
		if command == nil || err != nil || !c.isRequest(command) {
			return
		}
		remaining -= len(command)
		c.rejectOverloaded()
	}
}

// isRequest reports whether a complete command is a valid request.
func (c *connection) isRequest(command []byte) bool {
	complete, args, _, _, err := redcon.ReadNextCommand(command, nil)
	if err != nil || !complete || len(args) == 0 {
		return false
	}
	_, err = c.front.parseCommand(args)
	return err == nil
}

// rejectOverloaded rejects a command without submitting it to the core.
func (c *connection) rejectOverloaded() {
	c.replyNow(encodeRejection(core.Answer{RetryAfter: core.OverloadRetryAfter}))
}

// protocolError sends an error reply after a pause. The pause prevents a client
// that repeats invalid commands from using CPU time that other clients need.
func (c *connection) protocolError(text string) {
	c.protocolErrors.Add(1)
	c.backOff()
	c.replyNow(redcon.AppendError(nil, "ERR "+text))
}

// backOff pauses for protocolErrorPause times the number of protocol errors so far.
func (c *connection) backOff() {
	c.errorsBackedOff = c.protocolErrors.Load()
	end := time.Now().Add(time.Duration(c.errorsBackedOff) * protocolErrorPause)
	c.waitWhileReading(func(maxWait time.Duration) bool {
		return waitClosed(c.written, min(maxWait, time.Until(end))) || !time.Now().Before(end)
	})
}
