// Package cmdline reads a program's command line by its structure. In: the structure and the words. Out: the command that was
// chosen, handed to whoever runs it, or that something was printed instead. It ends no process.
package cmdline

import (
	"io"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

// printed ends the parser, or a command of its own, after it has printed what was asked for.
type printed struct{}

// Run fills a structure from the words and hands the chosen command to run, whose error it returns. done: help or a
// completion was printed, and that was all.
func Run(into any, name, about string, words []string, out io.Writer, run func(*kong.Context) error, more ...kong.Option) (done bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(printed); !ok {
				panic(p)
			}
			done, err = true, nil
		}
	}()
	parser, err := kong.New(into, append([]kong.Option{
		kong.Name(name), kong.Description(about), kong.Writers(out, out),
		kong.Exit(func(int) { panic(printed{}) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}, more...)...)
	if err != nil {
		return false, err
	}
	kongcompletion.Register(parser)
	k, err := parser.Parse(words)
	if err != nil {
		return false, err
	}
	return false, run(k)
}
