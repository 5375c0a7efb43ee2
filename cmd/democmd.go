package cmd

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/demo"
	"github.com/almondflow/almondflow/result"
)

const (
	defaultDemoDuration = 20 * time.Second
	minDemoDuration     = 5 * time.Second
)

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment with real HTTP/3 clients in one process over loopback",
		Description: "While feeds, holds and uploads run, a target leaves and another joins, an entry VM\n" +
			"is replaced, the tables are edited and an entry VM crashes. The exit code is not zero\n" +
			"if a promise was broken.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "one of " + strings.Join(demo.DeploymentNames(), ", "), Value: demo.DeploymentNames()[0]},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choices", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load, at least 5s", Value: defaultDemoDuration},
			jsonFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	if command.Duration("duration") < minDemoDuration {
		return oops.Code(result.Usage).Errorf("--duration %v: want at least %v", command.Duration("duration"), minDemoDuration)
	}
	report, err := demo.Run(ctx, demo.Options{
		Deployment: command.String("deployment"),
		Seed:       command.Uint64("seed"),
		Duration:   command.Duration("duration"),
		Progress:   command.Root().ErrWriter,
	})
	if err != nil {
		return err
	}
	if command.Bool("json") {
		err = writeJSON(command.Root().Writer, report)
	} else {
		err = report.WriteTable(command.Root().Writer)
	}
	if err != nil {
		return err
	}
	if brokenPromises := report.Violations(); len(brokenPromises) > 0 {
		return oops.Code(result.PromiseBroken).Wrap(errors.New(strings.Join(brokenPromises, "; ")))
	}
	return nil
}
