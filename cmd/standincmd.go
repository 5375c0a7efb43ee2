package cmd

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/standin"
)

func newStandInCommand() *cli.Command {
	return &cli.Command{
		Name:   "stand-in",
		Usage:  "run a small stand-in for a system around the entry VMs, for manual tests",
		Action: showHelp,
		Commands: []*cli.Command{
			newStandInPlatformCommand(),
			newStandInFabricCommand(),
			newStandInTargetCommand(),
			newStandInKeysCommand(),
			newStandInPublishCommand(),
			newStandInFaultCommand(),
			newStandInCallsCommand(),
		},
	}
}

func newStandInPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the tables and the list over HTTP; publish later versions with PUT /control/values/NAME",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "serve at `ADDRESS:PORT`", Value: "127.0.0.1:8090"},
			&cli.StringFlag{Name: "tables", Usage: "publish the routes and pools in `FILE`"},
			&cli.StringFlag{Name: "list", Usage: "publish the list of entry VMs in `FILE`"},
		},
		Action: runStandInPlatform,
	}
}

func runStandInPlatform(ctx context.Context, command *cli.Command) error {
	platform := standin.NewPlatform()
	for _, name := range []string{published.Tables, published.List} {
		if err := publishFile(platform, name, command.String(name)); err != nil {
			return err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", command.String("address"))
	if err != nil {
		return oops.Code(result.PortInUse).Wrapf(err, "--address")
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "platform http://%s\n", listener.Addr())
	return platform.Serve(ctx, listener)
}

// publishFile publishes the document in a file under the given name. It does nothing if no
// file is given.
func publishFile(platform *standin.Platform, name, file string) error {
	if file == "" {
		return nil
	}
	document, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return oops.Code(result.FileUnreadable).Wrapf(err, "--%s", name)
	}
	if err = platform.Publish(name, document); err != nil {
		return oops.Code(result.Usage).Wrapf(err, "--%s %s", name, file)
	}
	return nil
}

func newStandInFabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "receive UDP for routed destinations and spray it over entry VMs as Geneve",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "receive Geneve from entry VMs at `ADDRESS:PORT`", Value: "127.0.0.1:6080"},
			&cli.StringSliceFlag{Name: "route", Usage: "receive UDP from clients at `ADDRESS:PORT`", Required: true},
			&cli.StringSliceFlag{Name: "vm", Usage: "spray packets over the entry VM with this data `ADDRESS:PORT`", Required: true},
		},
		Action: runStandInFabric,
	}
}

func runStandInFabric(ctx context.Context, command *cli.Command) error {
	var vms []netip.AddrPort
	for _, text := range command.StringSlice("vm") {
		vm, err := netip.ParseAddrPort(text)
		if err != nil {
			return oops.Code(result.Usage).Errorf("--vm %q: want address:port", text)
		}
		vms = append(vms, vm)
	}
	log := slog.New(slog.NewTextHandler(command.Root().ErrWriter, nil))
	fabric, err := standin.StartFabric(ctx, command.String("address"), log)
	if err != nil {
		return oops.Code(result.PortInUse).Wrapf(err, "--address")
	}
	defer fabric.Close()
	fabric.SetVMs(vms)
	w := command.Root().Writer
	_, _ = fmt.Fprintf(w, "geneve %s\n", fabric.Address())
	for _, text := range command.StringSlice("route") {
		destination, err := fabric.Route(ctx, text)
		if err != nil {
			return oops.Code(result.PortInUse).Wrapf(err, "--route")
		}
		_, _ = fmt.Fprintf(w, "route %s\n", destination)
	}
	<-ctx.Done()
	return nil
}

func newStandInTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "serve HTTP/3 with a self-signed certificate: GET /feed, POST /hold?id=, PUT /photo",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "serve at `ADDRESS:PORT`", Value: "127.0.0.1:9001"},
			&cli.StringFlag{Name: "pool", Usage: "`NAME` of the pool in responses", Value: "booking-core"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the host in responses", Value: "booking-core-01"},
			&cli.IntFlag{Name: "slots", Usage: "run at most `COUNT` holds at once", Value: 2},
		},
		Action: runStandInTarget,
	}
}

func runStandInTarget(ctx context.Context, command *cli.Command) error {
	if command.Int("slots") < 1 {
		return oops.Code(result.Usage).Errorf("--slots %d: want at least 1", command.Int("slots"))
	}
	certificates, err := standin.NewCertificates()
	if err != nil {
		return oops.Code(result.KeyInvalid).Wrap(err)
	}
	target, err := standin.StartTarget(ctx, command.String("pool"), command.String("name"),
		command.String("address"), command.Int("slots"), certificates, standin.NewExecutionLog())
	if err != nil {
		return oops.Code(result.PortInUse).Wrapf(err, "--address")
	}
	defer target.Close()
	_, _ = fmt.Fprintf(command.Root().Writer, "target %s\n", target.Address())
	<-ctx.Done()
	return nil
}
