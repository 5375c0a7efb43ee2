// Package cmd implements the command line of almondflow, with one file per command.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/result"
)

const rootDescription = `almondflow balances flows over the targets that two published tables name.
Any entry VM may receive any packet of a flow.

Start with:
  almondflow demo                      a complete deployment in one process
  almondflow check tables FILE         check routes and pools before publishing them
  almondflow entry --settings FILE     the daemon of one entry VM
  almondflow status --daemon ADDRESS   query a running daemon

The exit code is a numbered result code, see docs/ERRORS.md.`

// Run runs the command that the arguments select and returns its result code, which is
// the exit code of the process. SIGINT and SIGTERM cancel the context of the command.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) result.Code {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot(stdout, stderr).Run(ctx, arguments)
	if err == nil {
		return result.OK
	}
	code := codeOf(err)
	_, _ = fmt.Fprintf(stderr, "almondflow: %v\nalmondflow: exit code %d %s\n", err, uint16(code), code)
	return code
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:        "almondflow",
		Usage:       "layer-4 load balancer for entry VMs behind a packet-spraying fabric",
		Description: rootDescription,
		Writer:      stdout,
		ErrWriter:   stderr,
		Commands: []*cli.Command{
			newEntryCommand(),
			newDemoCommand(),
			newExperimentCommand(),
			newStandInCommand(),
			newCheckCommand(),
			newExplainCommand(),
			newStatusCommand(),
			newFlowsCommand(),
			newAuditCommand(),
			newFrontCommand(),
		},
		Action:         showHelp,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	root.OnUsageError = usageError
	for _, command := range root.Commands {
		setUsageError(command)
	}
	return root
}

// setUsageError makes a command and its subcommands return usage errors with a result code.
func setUsageError(command *cli.Command) {
	command.OnUsageError = usageError
	for _, child := range command.Commands {
		setUsageError(child)
	}
}

func usageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return oops.Code(result.Usage).Wrapf(err, "%s (see %s --help)", command.FullName(), command.FullName())
}

// showHelp is the action of commands that only have subcommands.
func showHelp(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return oops.Code(result.Usage).Errorf("%s has no command %q (see %s --help)", command.FullName(), name, command.FullName())
	}
	return cli.ShowSubcommandHelp(command)
}

// codedError is an error with a result code.
type codedError interface {
	error
	Code() result.Code
}

// codeOf returns the result code of an error, or Internal if it has none.
func codeOf(err error) result.Code {
	var coded codedError
	if errors.As(err, &coded) {
		return coded.Code()
	}
	if detailed, ok := oops.AsOops(err); ok {
		if code, isCode := detailed.Code().(result.Code); isCode {
			return code
		}
	}
	return result.Internal
}

// jsonFlag returns the flag that selects JSON output instead of text.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeAnswer writes what a daemon answered to a command: as JSON if the command line asks for it, or as text.
func writeAnswer[T any](command *cli.Command, answer T, writeText func(io.Writer, T) error) error {
	w := command.Root().Writer
	if command.Bool("json") {
		return writeJSON(w, answer)
	}
	return writeText(w, answer)
}
