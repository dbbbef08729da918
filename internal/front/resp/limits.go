package resp

import (
	"time"
)

const (
	mostPipelined = 64                      // commands of one connection whose answers are not written yet
	firstCommand  = 2400 * time.Millisecond // from connecting to the end of the first command, and for some more of one that has begun
	wholeCommand  = 10 * time.Second        // from the first byte of a command to its last
	leastProgress = 256                     // bytes, for some more
	writeStall    = 10 * time.Second        // for a client to take some of what it is owed
	relaySize     = 8 << 10                 // piece of a value that is passed on
	mostKey       = 256
	lingerTime    = 250 * time.Millisecond // for the client to see our end of a connection
	lingerBytes   = 256 << 10
	lostBytes     = 4 << 20               // that are thrown away behind nonsense, while answers before it are owed
	lingerLook    = 25 * time.Millisecond // between two looks whether it has seen it
	aheadLook     = 50 * time.Millisecond // between two looks whether a client has left that can ask no more
	aheadBytes    = 64 << 10              // that are read of what it says meanwhile
	faultPause    = 50 * time.Millisecond // before the answer to nonsense, longer each time
	mostFaults    = 10                    // pieces of nonsense before a connection ends
)
