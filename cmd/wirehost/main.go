// Command wirehost runs the decisions of simulated instances for the platform's
// simulator. It reads batches of events from standard input and writes the
// decisions to standard output, in the simulator's protocol (package simproto).
// It opens no connection and reads no clock; it ends at the end of its input,
// or with exit status 1 and one line on standard error.
package main

import (
	"fmt"
	"os"

	"hitchspring/internal/simproto"
)

func main() {
	if err := simproto.Host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
