package cmd

import (
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/operator"
)

const defaultOperatorAddress = "127.0.0.1:8080"

// daemonFlag returns the flag for the operator address of the daemon to query.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "daemon",
		Usage:   "operator address of the daemon to query, as `ADDRESS:PORT`",
		Value:   defaultOperatorAddress,
		Sources: cli.EnvVars("ALMONDFLOW_DAEMON"),
	}
}

// operatorClient returns a client for the daemon that the command line selects.
func operatorClient(command *cli.Command) *operator.Client {
	return operator.NewClient(command.String("daemon"))
}
