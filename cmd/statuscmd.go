package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
)

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show current versions, peers and result counts of a running daemon",
		Flags:  []cli.Flag{daemonFlag(), jsonFlag()},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	status, err := operatorClient(command).Status(ctx)
	if err != nil {
		return err
	}
	return writeAnswer(command, &status, writeStatus)
}

func writeStatus(w io.Writer, s *operator.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "name\t%s\ndomain\t%s\nstate\t%s\n", s.Name, s.Domain, s.State)
	_, _ = fmt.Fprintf(t, "incarnation\t%d\nuptime_seconds\t%d\n", s.Incarnation, s.UptimeSeconds)
	_, _ = fmt.Fprintf(t, "table_version\t%d\nlist_version\t%d\n", s.TableVersion, s.ListVersion)
	_, _ = fmt.Fprintf(t, "flows\t%d\nvoting\t%v\n", s.Flows, s.Voting)
	for _, p := range s.Peers {
		alive := "alive"
		if !p.Alive {
			alive = "suspected"
		}
		_, _ = fmt.Fprintf(t, "peer %s\t%s, %s, %s\n", p.Name, p.Domain, p.State, alive)
	}
	for _, r := range s.Results {
		_, _ = fmt.Fprintf(t, "result %d %s\t%d\n", r.Code, r.Name, r.Count)
	}
	return t.Flush()
}
