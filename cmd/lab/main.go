// Command lab runs the service on loopback against stand-ins, for people and for tests: a demo that loads real ingresses
// and judges the five rules, and stand-ins on their own.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/standin/redis"
)

const usage = `usage: lab demo  [--for 20s] [--store tally|redis|redis-sentinel] [--fault "store:stall 2s at 5s"]... [--seed N] [--json FILE]
                 [--hot TIMES] [--rate TIMES] [--nodes N] [--ingresses N] [--ingress PROGRAM] [--logs FILE] [--quiet]
       lab soak  [--seeds N] and the flags of demo: one run for each seed, a line each
       lab compare [--base COMMIT] [--rounds N] and the flags of demo: CPU and memory of this ingress against another commit's
       lab redis --listen 127.0.0.1:PORT [--control 127.0.0.1:PORT] [--password-file FILE]
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code, err := run(ctx, os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
	}
	os.Exit(code)
}

// The exit codes.
const (
	clean  = 0
	broken = 1 // a rule broke
	failed = 2 // nothing could be judged
)

func run(ctx context.Context, args []string, out io.Writer) (int, error) {
	if len(args) == 0 {
		return failed, errors.New(strings.TrimSpace(usage))
	}
	switch args[0] {
	case "demo":
		return demo(ctx, args[1:], out)
	case "soak":
		return soak(ctx, args[1:], out)
	case "compare":
		return compare(ctx, args[1:], out)
	case "redis":
		return redisServer(ctx, args[1:], out)
	case "help", "-h", "--help":
		io.WriteString(out, usage)
		return clean, nil
	}
	return failed, fmt.Errorf("unknown command %q\n%s", args[0], strings.TrimSpace(usage))
}

type list []string

func (l *list) String() string     { return strings.Join(*l, "; ") }
func (l *list) Set(s string) error { *l = append(*l, s); return nil }

// flags are those of a run.
type flags struct {
	*flag.FlagSet
	cfg   lab.Config
	json  string
	logs  string
	quiet bool
	seeds int
}

func newFlags(name string) *flags {
	f := &flags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	f.SetOutput(io.Discard)
	f.DurationVar(&f.cfg.For, "for", 20*time.Second, "")
	f.StringVar(&f.cfg.Store, "store", lab.StoreTally, "")
	f.Var((*list)(&f.cfg.Faults), "fault", "")
	f.Uint64Var(&f.cfg.Seed, "seed", 1, "")
	f.Float64Var(&f.cfg.Hot, "hot", 0, "")
	f.Float64Var(&f.cfg.Rate, "rate", 1, "")
	f.IntVar(&f.cfg.Nodes, "nodes", 12, "")
	f.IntVar(&f.cfg.Ingresses, "ingresses", 3, "")
	f.StringVar(&f.cfg.Ingress, "ingress", "", "")
	f.StringVar(&f.json, "json", "", "")
	f.StringVar(&f.logs, "logs", "", "")
	f.BoolVar(&f.quiet, "quiet", false, "")
	f.IntVar(&f.seeds, "seeds", 20, "")
	return f
}

func (f *flags) parse(args []string) (closeLog func(), err error) {
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, fmt.Errorf("unknown argument %q", f.Arg(0))
	}
	closeLog = func() {}
	if f.logs != "" {
		file, err := os.Create(f.logs)
		if err != nil {
			return nil, err
		}
		f.cfg.Log = file
		closeLog = func() { file.Close() }
	}
	return closeLog, nil
}

func demo(ctx context.Context, args []string, out io.Writer) (int, error) {
	f := newFlags("demo")
	done, err := f.parse(args)
	if err != nil {
		return failed, err
	}
	defer done()
	if !f.quiet {
		f.cfg.Live = out
	}
	r, err := lab.Run(ctx, f.cfg)
	if err != nil {
		return failed, err
	}
	io.WriteString(out, r.Text())
	if f.json != "" {
		if err := writeJSON(f.json, r); err != nil {
			return failed, err
		}
	}
	if !r.Clean() {
		return broken, nil
	}
	return clean, nil
}

// soak plays one run for each seed and prints a line each.
func soak(ctx context.Context, args []string, out io.Writer) (int, error) {
	f := newFlags("soak")
	done, err := f.parse(args)
	if err != nil {
		return failed, err
	}
	defer done()
	var all []*lab.Report
	breaks, worst := 0, 0.0
	first := f.cfg.Seed
	for i := range f.seeds {
		f.cfg.Seed = first + uint64(i)
		r, err := lab.Run(ctx, f.cfg)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", f.cfg.Seed, err)
		}
		all = append(all, r)
		breaks += len(r.Breaks) + len(r.Crashed)
		worst = max(worst, r.WorstOverrun)
		fmt.Fprintf(out, "seed %3d  tries %6d  service %.3f  breaks %d  most overdrawn %5.1f%% of a ceiling  CPU %.0f us a try\n", f.cfg.Seed, r.Tries, r.Service,
			len(r.Breaks)+len(r.Crashed), 100*r.WorstOverrun, r.CPUPerRequestUS)
		for _, b := range r.Breaks {
			fmt.Fprintf(out, "    %s at %.3f s: %s\n", b.Rule, b.At.Seconds(), b.What)
		}
		for _, c := range r.Crashed {
			fmt.Fprintln(out, "    CRASHED:", c)
		}
	}
	fmt.Fprintf(out, "%d runs, %d rule breaks, most overdrawn %.1f%% of a ceiling\n", len(all), breaks, 100*worst)
	if f.json != "" {
		if err := writeJSON(f.json, all); err != nil {
			return failed, err
		}
	}
	if breaks > 0 {
		return broken, nil
	}
	return clean, nil
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// redisServer is the stand-in on its own, until a signal.
func redisServer(ctx context.Context, args []string, out io.Writer) (int, error) {
	f := flag.NewFlagSet("redis", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	listen := f.String("listen", "127.0.0.1:6379", "")
	control := f.String("control", "", "")
	secret := f.String("password-file", "", "")
	if err := f.Parse(args); err != nil {
		return failed, err
	}
	for _, addr := range []string{*listen, *control} {
		if err := onLoopback(addr); err != nil {
			return failed, err
		}
	}
	opt := redis.Options{Listen: *listen}
	if *secret != "" {
		b, err := os.ReadFile(*secret)
		if err != nil {
			return failed, err
		}
		opt.Password = strings.TrimSpace(string(b))
	}
	s, err := redis.Start(opt)
	if err != nil {
		return failed, err
	}
	defer s.Close()
	fmt.Fprintln(out, "redis stand-in on", s.Addr())
	if *control != "" {
		ln, err := net.Listen("tcp", *control)
		if err != nil {
			return failed, err
		}
		srv := &http.Server{Handler: s.Control(), ReadHeaderTimeout: 5 * time.Second}
		defer srv.Close()
		go srv.Serve(ln)
		fmt.Fprintf(out, "control on %s: curl -d 'stall 2s' http://%s/fault\n", ln.Addr(), ln.Addr())
	}
	<-ctx.Done()
	return clean, nil
}

// onLoopback refuses addresses that others could reach: a stand-in keeps no secret.
func onLoopback(addr string) error {
	if addr == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not a loopback address", addr)
	}
	return nil
}
