// Command almondflow-entry is the daemon of an entry VM on the users' platform. It contains only
// what serving needs, because an entry VM must start quickly on a fraction of a core.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/platform"
)

// settingsVariable is the environment variable that holds the path of the settings file.
const settingsVariable = "ALMONDFLOW_CONFIG"

var errNoSettings = errors.New("the environment variable " + settingsVariable + " does not name a settings file")

func main() {
	if len(os.Args) > 1 {
		os.Exit(answer(os.Args[1:], os.Stdout, os.Stderr))
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "level=ERROR msg=ended error=%q\n", err)
		os.Exit(1)
	}
}

func run() error {
	hangUps := make(chan os.Signal, 1)
	// From the first to the last moment, as a SIGHUP without a handler terminates the process.
	signal.Notify(hangUps, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := os.Getenv(settingsVariable)
	if path == "" {
		return errNoSettings
	}
	settings, err := front.LoadSettings(path)
	if err != nil {
		return err
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec:   platform.PacketCodec{},
		Store:         platform.NewStore(settings.StoreAddress.String()),
		ReadinessPath: platform.ReadinessPath,
		DecodeParts:   platform.DecodeParts,
		SettingsPath:  path,
		LogOutput:     os.Stdout,
	})
	if err != nil {
		return err
	}
	go reloadOnHangUp(daemon, hangUps)
	return daemon.Run(ctx)
}

// reloadOnHangUp reloads the settings on each SIGHUP.
func reloadOnHangUp(daemon *front.Daemon, hangUps <-chan os.Signal) {
	for range hangUps {
		daemon.Reload(os.Getenv(settingsVariable))
	}
}
