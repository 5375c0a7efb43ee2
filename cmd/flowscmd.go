package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
)

const defaultFlowsLimit = 100

func newFlowsCommand() *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "list flows that a running daemon holds",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.IntFlag{Name: "limit", Usage: "list at most `COUNT` flows", Value: defaultFlowsLimit},
			jsonFlag(),
		},
		Action: runFlows,
	}
}

func runFlows(ctx context.Context, command *cli.Command) error {
	flows, err := operatorClient(command).Flows(ctx, command.Int("limit"))
	if err != nil {
		return err
	}
	return writeAnswer(command, flows, writeFlows)
}

func writeFlows(w io.Writer, flows []operator.Flow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "protocol\tsource\tdestination\ttarget\trole")
	for _, f := range flows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", f.Protocol, f.Source, f.Destination, f.Target, f.Role)
	}
	return t.Flush()
}
