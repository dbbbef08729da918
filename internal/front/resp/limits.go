package resp

import "time"

const (
	mostPipelined      = 64                      // the window: commands of one connection whose answers are not written yet
	firstCommand       = 2400 * time.Millisecond // from connecting to the end of the first command, and for some more of one that has begun
	wholeCommand       = 10 * time.Second        // from the first byte of a command to its last
	mostQueued         = 10 * time.Second        // that a first command may have waited in the listen queue
	restOfCommand      = 250 * time.Millisecond  // at the least, for what has come of a command and was not read
	leastProgress      = 256                     // bytes, for some more
	writeStall         = 10 * time.Second        // for a client to take some of what it is owed
	relaySize          = 8 << 10                 // piece of a value that is passed on
	lingerTime         = 250 * time.Millisecond  // for the client to see our end of a connection
	lingerBytes        = 256 << 10
	discardedBytes     = 4 << 20               // that are discarded behind a protocol error, while answers before it are owed
	lingerLook         = 25 * time.Millisecond // between two looks whether the client has seen it
	peerClosedLook     = 50 * time.Millisecond // between two looks whether a client has left that can ask no more
	readAheadBytes     = 64 << 10              // that are read of what it sends meanwhile
	protocolErrorPause = 50 * time.Millisecond // before the answer to a protocol error, longer each time
	mostProtocolErrors = 10                    // protocol errors before a connection ends
)
