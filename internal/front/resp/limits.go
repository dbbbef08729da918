package resp

import "time"

// Bounds of one connection.
const (
	maxPipelined      = 64       // commands without a written answer
	maxProtocolErrors = 10       // before the connection is closed
	readAheadBytes    = 64 << 10 // read while a command waits for the pipeline window or a pause
	relayBufferSize   = 8 << 10  // bytes of a streamed value that are relayed at once
	minProgressBytes  = 256      // of a partial command that extend its time
	maxDiscardedBytes = 4 << 20  // discarded behind a protocol error, while earlier answers are owed
	lingerBytes       = 256 << 10
)

// Time limits of one connection.
const (
	firstCommandTimeout = 2400 * time.Millisecond // for the first command, and after each progress of a partial one
	commandTimeout      = 10 * time.Second        // from the first byte of a command to its last
	minRestTimeout      = 250 * time.Millisecond  // for the rest of a command whose beginning had waited unread
	stalledLimit        = 2850 * time.Millisecond // from a partial command's first byte to its error
	maxListenQueueWait  = 10 * time.Second        // that a first command is believed to have waited in the listen queue
	writeStallTimeout   = 10 * time.Second        // for a client to take some of what it is owed
	protocolErrorPause  = 50 * time.Millisecond   // before the answer to a protocol error, times their number
	lingerTime          = 250 * time.Millisecond  // for the client to see the end of the connection

	lingerPollInterval     = 25 * time.Millisecond // for the client's end of a connection that we have ended
	peerClosedPollInterval = 50 * time.Millisecond // for the disconnect of a client whose commands are not read
)
