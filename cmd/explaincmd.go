package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

const explainArguments = "PROTOCOL SOURCE:PORT DESTINATION:PORT"

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a flow goes and why: service, pool, home domain, holders, target",
		ArgsUsage: explainArguments,
		Flags:     []cli.Flag{daemonFlag(), jsonFlag()},
		Action:    runExplain,
	}
}

func runExplain(ctx context.Context, command *cli.Command) error {
	arguments := command.Args()
	if arguments.Len() != 3 {
		return oops.Code(result.Usage).Errorf("explain wants %s", explainArguments)
	}
	explanation, err := operatorClient(command).Explain(ctx, arguments.Get(0), arguments.Get(1), arguments.Get(2))
	if err != nil {
		return err
	}
	err = writeAnswer(command, &explanation, writeExplanation)
	if err == nil && explanation.Service == "" {
		return oops.Code(result.NotFound).Errorf("no route for %s", explanation.Flow)
	}
	return err
}

func writeExplanation(w io.Writer, e *operator.Explanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "flow\t%s\nservice\t%s\npool\t%s\n", e.Flow, e.Service, e.Pool)
	_, _ = fmt.Fprintf(t, "repeatable\t%v\nhome_domain\t%s\n", e.Repeatable, e.HomeDomain)
	for i, h := range e.Holders {
		alive := "alive"
		if !h.Alive {
			alive = "suspected"
		}
		_, _ = fmt.Fprintf(t, "holder %d\t%s, %s, %s\n", i+1, h.Name, h.Domain, alive)
	}
	_, _ = fmt.Fprintf(t, "owner\t%s\ntarget\t%s\nhost\t%s\n", e.Owner, e.Target, e.Host)
	for _, reason := range e.Reasons {
		_, _ = fmt.Fprintf(t, "why\t%s\n", reason)
	}
	return t.Flush()
}
