package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hitchspring/internal/config"
)

const (
	// statusTimeout is the limit for a complete call, from connecting to the last byte of the response.
	statusTimeout = 3 * time.Second

	// maxStatusBytes is the maximum size of a response. Reports of 30 instances on each of 7,700 backends take
	// about 40 MB.
	maxStatusBytes = 64 << 20
)

// statusCmd has one subcommand for each status path of the metrics listener.
//
//nolint:lll // a struct tag can't be wrapped
type statusCmd struct {
	Zones    statusZonesCmd    `cmd:"" name:"halls" help:"Each hall's capacity, what is offered, kept and spilled, and why."`
	Peers    statusPeersCmd    `cmd:"" help:"The other instances: what is believed of each, since when, and what came from them."`
	Work     statusWorkCmd     `cmd:"" help:"Work in hand: covered, uncovered, kept for others, taken over."`
	Quotas   statusQuotasCmd   `cmd:"" name:"budgets" help:"The quotas of the channels with the most demand: mode, what is held, what may be passed on if nothing more is heard."`
	Escrow   statusEscrowCmd   `cmd:"" name:"rights" help:"Parts of budgets that have moved between instances: held, lent, borrowed, and what others spend unheard."`
	Backends statusBackendsCmd `cmd:"" name:"nodes" help:"The nodes of which something is known or told: what is believed, from whom, how old, and why."`
}

// statusFlags are the flags that all status commands share.
//
//nolint:lll // a struct tag can't be wrapped
type statusFlags struct {
	Address string `name:"at" help:"host:port of the metrics listener; empty: metrics.listen of the options." placeholder:"ADDR"`
	JSON    bool   `help:"As JSON."`
}

// statusZonesCmd shows the states of the zones.
type statusZonesCmd struct{ statusFlags }

// Run prints the states of the zones as a running instance sees them.
func (c *statusZonesCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "halls", printZones)
}

// statusPeersCmd shows the members of the peer group.
type statusPeersCmd struct{ statusFlags }

// Run prints the members that a running instance knows.
func (c *statusPeersCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "peers", printPeers)
}

// statusBackendsCmd shows the assessments of the backends.
type statusBackendsCmd struct{ statusFlags }

// Run prints a running instance's assessments of its backends, and the reports of other instances on them.
func (c *statusBackendsCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "nodes", printBackends)
}

// statusWorkCmd shows the counts of pending work.
type statusWorkCmd struct{ statusFlags }

// Run prints the counts of pending work of a running instance.
func (c *statusWorkCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "work", printWork)
}

// statusQuotasCmd shows the quotas, with a bound on the overrun if this instance receives no more reports from others.
type statusQuotasCmd struct {
	statusFlags
	For time.Duration `help:"What would be passed on within so long, up to 10m." default:"1m"`
}

// Run prints the quotas of a running instance.
func (c *statusQuotasCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "budgets?for="+c.For.String(), printQuotas)
}

// statusEscrowCmd shows the transferred quota allocations.
type statusEscrowCmd struct{ statusFlags }

// Run prints the quota allocations that a running instance has transferred or received.
func (c *statusEscrowCmd) Run(e *commandEnv) error {
	return printStatus(c.statusFlags, e, "rights", printEscrow)
}

// printStatus queries a status path of a running instance. It prints the response unchanged if the JSON flag is set,
// and otherwise decodes it and calls printTable.
func printStatus[T any](flags statusFlags, e *commandEnv, path string, printTable func(io.Writer, T) error) error {
	address, err := flags.resolveAddress(e, path)
	if err != nil {
		return err
	}
	body, err := queryStatus(e.ctx, address, path)
	if err != nil {
		return err
	}
	if flags.JSON {
		_, err = e.out.Write(body)
		return err
	}
	var status T
	if err := json.Unmarshal(body, &status); err != nil {
		return fmt.Errorf("status %s: %s answers something else: %w", path, address, err)
	}
	return printTable(e.out, status)
}

// resolveAddress returns the address of the metrics listener, from the flag or else from the options.
func (f statusFlags) resolveAddress(e *commandEnv, path string) (string, error) {
	if f.Address != "" {
		return f.Address, nil
	}
	options, err := config.Load(e.optionsPath)
	if err != nil {
		return "", err
	}
	if options.Metrics == nil {
		return "", fmt.Errorf("status %s: --at names no address, and the options have no metrics.listen", path)
	}
	return options.Metrics.Listen, nil
}

// queryStatus returns the response body for a path of the metrics listener at address. A status other than 200 is an
// error.
func queryStatus(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+path, nil)
	if err != nil {
		return nil, fmt.Errorf("status %s: --at %q: %w", path, address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("status %s: %w", path, err)
	}
	defer resp.Body.Close()
	body, err := readBody(resp, maxStatusBytes)
	if err != nil {
		return nil, fmt.Errorf("status %s: %s: %w", path, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		text := strings.TrimSpace(string(body))
		return nil, fmt.Errorf("status %s: %s says %s: %s", path, address, resp.Status, text)
	}
	return body, nil
}

// bodyTooLargeError reports a body larger than the maximum, which is its value in bytes.
type bodyTooLargeError int64

// Error names the maximum size.
func (e bodyTooLargeError) Error() string {
	return fmt.Sprintf("the answer is larger than %d bytes, and nothing of it is shown", int64(e))
}

// readBody reads a body of at most maxBytes. For a larger body it returns a bodyTooLargeError and no data, and reads no
// more than maxBytes+1 bytes.
func readBody(resp *http.Response, maxBytes int64) ([]byte, error) {
	if resp.ContentLength > maxBytes {
		return nil, bodyTooLargeError(maxBytes)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		return nil, bodyTooLargeError(maxBytes)
	}
	return body, nil
}
