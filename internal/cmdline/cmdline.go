// Package cmdline parses the command line of a program by the kong structure
// that describes it. It takes the structure and the arguments, and hands the
// command that they name to the caller's function. Help and shell completion
// are printed here, with no command run. The package ends no process and reads
// no arguments of its own.
package cmdline

import (
	"io"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// exitRequest is the panic by which kong's parser stops after it has printed help or a completion.
type exitRequest struct{}

// Run parses args into the structure that grammar points to and calls run with the command that they name. It returns
// run's error, or the parser's. It reports true, without calling run, if help or a completion was printed to out.
func Run(
	grammar any, name, description string, args []string, out io.Writer,
	run func(*kong.Context) error, options ...kong.Option,
) (printed bool, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, ok := reason.(exitRequest); !ok {
				panic(reason)
			}
			printed = true
			err = nil
		}
	}()
	defaults := []kong.Option{
		kong.Name(name),
		kong.Description(description),
		kong.Writers(out, out),
		kong.Exit(func(int) { panic(exitRequest{}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	parser, err := kong.New(grammar, append(defaults, options...)...)
	if err != nil {
		return false, err
	}
	kongcompletion.Register(parser)
	command, err := parser.Parse(args)
	if err != nil {
		return false, err
	}
	return false, run(command)
}
