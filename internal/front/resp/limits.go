package resp

import "time"

const (
	maxPipelined           = 64                      // the window: commands of one connection whose answers are not written yet
	firstCommandTimeout    = 2400 * time.Millisecond // from connecting to the end of the first command, and for some more of one that has begun
	commandTimeout         = 10 * time.Second        // from the first byte of a command to its last
	maxListenQueueWait     = 10 * time.Second        // that a first command may have waited in the listen queue
	minRestTimeout         = 250 * time.Millisecond  // at the least, for what has come of a command and was not read
	minProgressBytes       = 256                     // bytes, for some more
	writeStallTimeout      = 10 * time.Second        // for a client to take some of what it is owed
	relayBufferSize        = 8 << 10                 // piece of a value that is passed on
	lingerTime             = 250 * time.Millisecond  // for the client to see our end of a connection
	lingerBytes            = 256 << 10
	maxDiscardedBytes      = 4 << 20               // that are discarded behind a protocol error, while answers before it are owed
	lingerPollInterval     = 25 * time.Millisecond // between two looks whether the client has seen it
	peerClosedPollInterval = 50 * time.Millisecond // between two looks whether a client has left that can ask no more
	readAheadBytes         = 64 << 10              // that are read of what it sends meanwhile
	protocolErrorPause     = 50 * time.Millisecond // before the answer to a protocol error, longer each time
	maxProtocolErrors      = 10                    // protocol errors before a connection ends
)
