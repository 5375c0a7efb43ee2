package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

func newFrontTraceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "tell the story of a flow or a target from the logs of the VMs",
		ArgsUsage: "[FILE...]",
		Description: "Reads files, or standard input without one, in any order. Lines may have a time and the name\n" +
			"of the VM before them; otherwise the file's name counts as that of the VM.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "flow", Usage: "trace the flows of the client at `ADDRESS:PORT`"},
			&cli.StringFlag{Name: "target", Usage: "trace the target with this `ID`"},
		},
		Action: runFrontTrace,
	}
}

func runFrontTrace(_ context.Context, command *cli.Command) error {
	flow, target := command.String("flow"), command.String("target")
	if (flow == "") == (target == "") {
		return oops.Code(result.Usage).Errorf("trace wants either --flow or --target")
	}
	trace := operator.NewTargetTrace(target)
	if flow != "" {
		trace = operator.NewFlowTrace(flow)
	}
	if err := readLogs(trace, command); err != nil {
		return err
	}
	if err := writeTrace(command.Root().Writer, trace.Lines()); err != nil {
		return err
	}
	if count, first := trace.Malformed(); count > 0 {
		_, _ = fmt.Fprintf(command.Root().ErrWriter, "%d lines are no log lines, the first: %s\n", count, first)
	}
	if len(trace.Lines()) == 0 {
		return oops.Code(result.NotFound).Errorf("no line about %s%s", flow, target)
	}
	return nil
}

// readLogs reads the files that the arguments name, or standard input.
func readLogs(trace *operator.Trace, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return trace.Read(command.Root().Reader, "stdin")
	}
	for _, path := range command.Args().Slice() {
		file, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			return oops.Code(result.FileUnreadable).Wrapf(err, "open a log")
		}
		err = trace.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		_ = file.Close() // nothing was written
		if err != nil {
			return oops.Code(result.FileUnreadable).Wrap(err)
		}
	}
	return nil
}

func writeTrace(w io.Writer, lines []*operator.LogLine) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "seconds\tvm\twhat\tinputs")
	for _, line := range lines {
		var inputs []string
		for _, f := range line.Fields {
			if f.Value != "" {
				inputs = append(inputs, f.Name+"="+f.Value)
			}
		}
		_, _ = fmt.Fprintf(t, "%.4f\t%s\t%s\t%s\n", line.Seconds, line.VM, line.Message, strings.Join(inputs, " "))
	}
	return t.Flush()
}
