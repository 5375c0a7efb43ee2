package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
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
	if command.Bool("json") {
		return writeJSON(command.Root().Writer, flows)
	}
	t := tabwriter.NewWriter(command.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "protocol\tsource\tdestination\ttarget\trole")
	for _, f := range flows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", f.Protocol, f.Source, f.Destination, f.Target, f.Role)
	}
	return t.Flush()
}
