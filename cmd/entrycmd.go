package cmd

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/peers"
	"github.com/almondflow/almondflow/settings"
)

const defaultStartTimeout = 30 * time.Second

func newEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of one entry VM until SIGTERM or SIGINT",
		Description: "The daemon binds its sockets, reads the platform and serves. On a signal it drains:\n" +
			"it notifies its peers, hands its flows over and exits within the configured time.\n" +
			"On SIGHUP it reloads its key files.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.DurationFlag{
				Name:  "start-timeout",
				Value: defaultStartTimeout,
				Usage: "exit if the tables and the list were not both read within this `DURATION`",
			},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, command *cli.Command) error {
	hangUps := make(chan os.Signal, 1)
	// From the first to the last moment, also during the drain after ctx ends, as a SIGHUP without
	// a handler terminates the process.
	signal.Notify(hangUps, syscall.SIGHUP)
	s, err := settings.Load(command.String("settings"))
	if err != nil {
		return fmt.Errorf("%s: %w", command.String("settings"), err)
	}
	config, err := newEntryConfig(s)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(command.Root().ErrWriter, &slog.HandlerOptions{Level: s.LogLevel()}))
	config.StartTimeout = clock.FromDuration(command.Duration("start-timeout"))
	daemon, err := entry.New(ctx, config, entry.WithLogger(log))
	if err != nil {
		return err
	}
	go reloadKeysOnHangUp(daemon, s.Files(), hangUps, log)
	return daemon.Run(ctx)
}

// reloadKeysOnHangUp reloads the key files on each SIGHUP. If a file is invalid, the daemon keeps
// its current keys.
func reloadKeysOnHangUp(daemon *entry.Daemon, files settings.Files, hangUps <-chan os.Signal, log *slog.Logger) {
	for range hangUps {
		if err := reloadKeys(daemon, files); err != nil {
			log.Error("keys_refused", "error", err)
		}
	}
}

// reloadKeys replaces the steering keys and the TLS identity of a daemon with those in files.
func reloadKeys(daemon *entry.Daemon, files settings.Files) error {
	ring, err := loadKeyRing(files)
	if err != nil {
		return err
	}
	identity, err := files.LoadIdentity()
	if err != nil {
		return err
	}
	daemon.ReplaceKeys(ring, identity)
	return nil
}

// seedPeers returns the daemons that provide the member list at startup if the platform does not.
func seedPeers(s *settings.Settings) []fleet.VM {
	var seeds []fleet.VM
	for _, p := range s.SeedPeers() {
		seeds = append(seeds, fleet.NewVM(p.Name(), "", netip.AddrPort{}, p.Address(), fleet.Serving))
	}
	return seeds
}

// newEntryConfig builds the configuration of a daemon from its settings and key files.
func newEntryConfig(s *settings.Settings) (entry.Config, error) {
	seed, err := s.Files().LoadHashSeed()
	if err != nil {
		return entry.Config{}, err
	}
	ring, err := loadKeyRing(s.Files())
	if err != nil {
		return entry.Config{}, err
	}
	identity, err := s.Files().LoadIdentity()
	if err != nil {
		return entry.Config{}, err
	}
	return entry.Config{
		Name:                  s.Name(),
		Domain:                s.Domain(),
		DataAddress:           s.DataAddress(),
		PeerAddress:           s.PeerAddress(),
		OperatorAddress:       s.OperatorAddress(),
		FabricAddress:         s.FabricAddress(),
		PlatformEndpoints:     s.PlatformEndpoints(),
		SeedPeers:             seedPeers(s),
		FleetSize:             s.FleetSize(),
		VNI:                   geneve.VNI(s.GeneveNetwork()),
		MTU:                   s.MTU(),
		Keys:                  geneve.NewKeys(ring),
		PeerKeys:              peers.NewIdentityHolder(identity),
		HashSeed:              seed,
		Workers:               s.Workers(),
		MaxFlows:              s.MaxFlows(),
		ControlBytesPerSecond: s.ControlRate(),
		OpeningLifetime:       s.OpeningLifetime(),
		StopTimeout:           s.StopTimeout(),
		AuditEntries:          s.AuditEntries(),
	}, nil
}

// loadKeyRing loads the steering keys: the current key and the other accepted keys.
func loadKeyRing(files settings.Files) (*geneve.KeyRing, error) {
	loaded, err := files.LoadSteeringKeys()
	if err != nil {
		return nil, err
	}
	current, err := geneve.NewKey(loaded.Current().ID(), loaded.Current().Secret())
	if err != nil {
		return nil, err
	}
	var accepted []geneve.Key
	for _, k := range loaded.Accepted() {
		key, err := geneve.NewKey(k.ID(), k.Secret())
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, key)
	}
	return geneve.NewKeyRing(current, accepted...)
}
