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

// platformFlag names the stand-in platform to control.
func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "control the stand-in platform at `ADDRESS:PORT`", Value: "127.0.0.1:8090"}
}

func newStandInPublishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a version of a value with a running stand-in platform",
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
		Usage:     "switch a fault of a running stand-in platform on, or all off with healthy",
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
		Usage: "show how often a running stand-in platform was called",
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return controlPlatform(ctx, command, http.MethodGet, "/control/calls", "")
		},
	}
}

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
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return oops.Code(result.PlatformUnreachable).Wrapf(err, "--platform %s", address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return oops.Code(result.Usage).Errorf("%s", strings.TrimSpace(string(answer)))
	}
	_, err = command.Root().Writer.Write(answer)
	return err
}
