// Command hitchspring is the ingress: it accepts requests from clients, lets the
// decision module choose whether and where to forward each, and sends them to
// backends.
//
// It reads two files: the platform's configuration (JSON), whose path is in
// ROUTER_CONFIG, and the options (TOML), whose path is in --options or
// HITCHSPRING_OPTIONS. Without an options file every optional feature is off.
// Without a command it serves until SIGTERM or SIGINT, and SIGHUP reloads both
// files. The other commands validate the files, query a running instance and
// drain zones. Errors are reported as one line on standard error, with exit
// status 1.
package main

import (
	"fmt"
	"log/slog"
	"os"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := runCommand(os.Args[1:], os.Stdout, log); err != nil {
		fmt.Fprintln(os.Stderr, "hitchspring:", err)
		os.Exit(1)
	}
}
