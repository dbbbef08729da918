// Package cmdline parses a command line with kong. It takes the grammar, which is
// a struct with kong tags, and the arguments, and passes the selected command to
// a function of the caller. If the arguments request help or shell completion, it
// prints that and runs no command. It never ends the process.
package cmdline

import (
	"io"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// exitRequest is the value of the panic that replaces kong's call of os.Exit after printing help or a completion.
type exitRequest struct{}

// Run parses args into the struct that grammar points to and calls run with the selected command. It returns the error
// of run or of the parser. If args request help or a completion, Run prints that to out and returns true without
// calling run.
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
