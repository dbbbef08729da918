// Command wirehost runs gateways' decisions on the simulator's wire: batches in, replies out.
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
