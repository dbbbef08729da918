package resp

import "time"

// Size limits of one connection.
const (
	maxPipelined      = 64        // commands whose reply is not written yet
	maxProtocolErrors = 10        // protocol errors until the connection is closed
	readAheadBytes    = 64 << 10  // bytes buffered while a command waits for the pipeline window or a pause
	longReadAhead     = 4 << 20   // as readAheadBytes, while half of the memory for commands is free
	relayBufferSize   = 8 << 10   // bytes of a streamed value relayed per write
	maxWriteBytes     = 64 << 10  // bytes of one write, so that the progress of a long reply is seen
	minProgressBytes  = 256       // new bytes of a partial command that extend its deadline
	maxDiscardedBytes = 4 << 20   // input discarded after a protocol error while earlier replies are pending
	lingerBytes       = 256 << 10 // input discarded after the reply to the last protocol error
)

// Time limits of one connection.
const (
	firstCommandTimeout = 2400 * time.Millisecond // for the first command, and after each progress of a partial one
	commandTimeout      = 10 * time.Second        // from the first byte of a command to its last
	minRemainderTimeout = 250 * time.Millisecond  // to receive the rest of a command whose first part waited unread
	maxStallTime        = 2850 * time.Millisecond // from the last progress of a partial command to its error reply
	maxListenQueueWait  = 10 * time.Second        // cap for the estimated time of a first command in the listen queue
	writeStallTimeout   = 10 * time.Second        // without write progress until the connection is closed
	protocolErrorPause  = 50 * time.Millisecond   // before the reply to a protocol error, multiplied by their number
	lingerTime          = 250 * time.Millisecond  // for the client to close its side of the connection

	lingerPollInterval     = 25 * time.Millisecond // for the client's close of a connection that the front has ended
	unseenAfter            = 80 * time.Millisecond // without a sign of the client, whose close may be hidden
	peerClosedPollInterval = 50 * time.Millisecond // for the disconnect of a client whose commands are not being read
)

// Processor time that a connection uses beyond that of handling its commands: in the
// kernel, in the scheduler, and by the writer.
const (
	readCost     = 10 * time.Microsecond // of a read and the wake-up before it
	readByteCost = time.Nanosecond       // of each byte that is read
	writeCost    = 10 * time.Microsecond // of a write and the wake-up before it
	acceptCost   = 50 * time.Microsecond
)
