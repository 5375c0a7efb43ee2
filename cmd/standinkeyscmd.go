package cmd

import (
	"context"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/standin"
)

func newStandInKeysCommand() *cli.Command {
	return &cli.Command{
		Name:      "keys",
		Usage:     "write short-lived key files for entry VMs: NAME.pem and NAME.key for each, and the files that the fleet shares",
		ArgsUsage: "NAME...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Usage: "write to `DIRECTORY`", Value: "."},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			names := command.Args().Slice()
			if len(names) == 0 {
				return oops.Code(result.Usage).Errorf("%s wants the NAME of at least one entry VM", command.FullName())
			}
			if err := standin.WriteKeys(command.String("directory"), names); err != nil {
				return oops.Code(result.FileUnreadable).Wrapf(err, "--directory")
			}
			return nil
		},
	}
}
