package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
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
	return writeAnswer(command, records, writeAuditRecords)
}

func writeAuditRecords(w io.Writer, records []operator.AuditRecord) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "sequence\ttime\tkind\tsubject\tbefore\tafter\tsource")
	for _, r := range records {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Sequence, r.Time.Format(time.RFC3339), r.Kind, r.Subject, r.Before, r.After, r.Source)
	}
	return t.Flush()
}
