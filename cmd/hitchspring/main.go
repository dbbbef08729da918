// Command hitchspring is the ingress: it takes requests from clients, has the
// decision module choose what becomes of each, and sends them to backends.
//
// It reads two files. ROUTER_CONFIG names the platform's configuration (JSON),
// and --options or HITCHSPRING_OPTIONS names the options (TOML), without which
// every optional part is off. Without a command it serves until SIGTERM or
// SIGINT; SIGHUP reads both files again. The other commands check the files,
// query a running instance and drain zones. An error is one line on standard
// error, and the exit status is 1.
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
