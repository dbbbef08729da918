// Command wirehost makes the decisions of simulated instances for the platform's
// simulator. It reads batches of events from standard input and writes the
// decisions to standard output, in the simulator's protocol (package simproto).
// It opens no connections and reads no clock. It exits at the end of its input.
// After an error it prints one line on standard error and exits with status 1.
package main

import (
	"fmt"
	"os"

	"hitchspring/internal/simproto"
)

func main() {
	if err := simproto.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
