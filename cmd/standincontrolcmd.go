package cmd

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/result"
)

// platformFlag returns the flag for the address of the stand-in platform to control.
func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "control the stand-in platform at `ADDRESS:PORT`", Value: "127.0.0.1:8090"}
}

func newStandInPublishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a version of the tables or the list on a running stand-in platform",
		ArgsUsage: "tables|list FILE",
		Flags:     []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return oops.Code(result.Usage).Errorf("%s wants a name and a FILE", command.FullName())
			}
			document, err := os.ReadFile(command.Args().Get(1))
			if err != nil {
				return oops.Code(result.FileUnreadable).Wrap(err)
			}
			return controlPlatform(ctx, command, http.MethodPut, "/control/values/"+command.Args().First(), string(document))
		},
	}
}

func newStandInFaultCommand() *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "enable a fault of a running stand-in platform, or disable all faults with healthy",
		ArgsUsage: "healthy|down|stale|slow|garbage|oversize",
		Flags:     []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return controlPlatform(ctx, command, http.MethodPut, "/control/faults/"+command.Args().First(), "")
		},
	}
}

func newStandInCallsCommand() *cli.Command {
	return &cli.Command{
		Name:  "calls",
		Usage: "show the number of calls that a running stand-in platform received",
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return controlPlatform(ctx, command, http.MethodGet, "/control/calls", "")
		},
	}
}

// controlPlatform sends a request to the stand-in platform and prints the response.
func controlPlatform(ctx context.Context, command *cli.Command, method, path, body string) error {
	address := command.String("platform")
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return oops.Code(result.Usage).Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return oops.Code(result.PlatformUnreachable).Wrapf(err, "--platform %s", address)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return oops.Code(result.PlatformUnreachable).Wrapf(err, "--platform %s", address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return oops.Code(result.Usage).Errorf("%s", strings.TrimSpace(string(responseBody)))
	}
	_, err = command.Root().Writer.Write(responseBody)
	return err
}
