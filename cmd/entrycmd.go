package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newEntryCommand() *cli.Command {
	return &cli.Command{
		Name:   "entry",
		Action: func(context.Context, *cli.Command) error { return nil },
	}
}
func checkSettings([]byte) (string, error) { return "", nil }
func newStandInPlatformCommand() *cli.Command { return &cli.Command{Name: "platform"} }
