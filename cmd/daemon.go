package cmd

import (
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
)

const defaultOperatorAddress = "127.0.0.1:8080"

// daemonFlag names the daemon that a query asks.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "daemon",
		Usage:   "operator address of the daemon to ask, as `ADDRESS:PORT`",
		Value:   defaultOperatorAddress,
		Sources: cli.EnvVars("ALMONDFLOW_DAEMON"),
	}
}

func clientOf(command *cli.Command) *operator.Client {
	return operator.NewClient(command.String("daemon"))
}
