package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

func newAuditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list the changes that a running daemon applied",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.Uint64Flag{Name: "after", Usage: "list changes after this `SEQUENCE` number"},
			jsonFlag(),
		},
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, command *cli.Command) error {
	records, err := operatorClient(command).Audit(ctx, command.Uint64("after"))
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return writeJSON(command.Root().Writer, records)
	}
	t := tabwriter.NewWriter(command.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "sequence\ttime\tkind\tsubject\tbefore\tafter\tsource")
	for _, r := range records {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Sequence, r.Time.Format(time.RFC3339), r.Kind, r.Subject, r.Before, r.After, r.Source)
	}
	return t.Flush()
}
