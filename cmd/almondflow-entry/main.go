// Command almondflow-entry is the daemon of an entry VM on the users' platform. It holds
// only what serving needs, as a VM starts with a small part of a core.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/platform"
)

// settingsVariable names the settings file.
const settingsVariable = "ALMONDFLOW_CONFIG"

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "level=ERROR msg=ended error=%q\n", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := front.LoadSettings(os.Getenv(settingsVariable))
	if err != nil {
		return err
	}
	daemon, err := front.New(settings, front.Options{
		PacketCodec:   platform.Wire{},
		Store:         platform.NewStore(settings.StoreAddress.String()),
		ReadinessPath: platform.ReadinessPath,
		SettingsPath:  os.Getenv(settingsVariable),
		LogOutput:     os.Stdout,
	})
	if err != nil {
		return err
	}
	go reload(daemon)
	return daemon.Run(ctx)
}

// reload reads the settings again on SIGHUP, which would end the process otherwise.
func reload(daemon *front.Daemon) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	for range hangUps {
		daemon.Reload(os.Getenv(settingsVariable))
	}
}
