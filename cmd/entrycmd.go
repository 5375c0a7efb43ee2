package cmd

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/peers"
	"github.com/almondflow/almondflow/settings"
)

func newEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of one entry VM until SIGTERM or SIGINT",
		Description: "The daemon binds its sockets, reads the platform and serves. On a signal it leaves:\n" +
			"it tells its peers, hands its flows over and exits within the configured time.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, command *cli.Command) error {
	s, err := settings.Load(command.String("settings"))
	if err != nil {
		return fmt.Errorf("%s: %w", command.String("settings"), err)
	}
	config, err := newConfig(s)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(command.Root().ErrWriter, &slog.HandlerOptions{Level: s.LogLevel()}))
	daemon, err := entry.New(ctx, config, entry.WithLogger(log))
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// newConfig reads the key files that the settings name.
func newConfig(s *settings.Settings) (entry.Config, error) {
	seed, err := s.Files().LoadHashSeed()
	if err != nil {
		return entry.Config{}, err
	}
	keys, err := loadKeys(s.Files())
	if err != nil {
		return entry.Config{}, err
	}
	identity, err := s.Files().LoadIdentity()
	if err != nil {
		return entry.Config{}, err
	}
	return entry.Config{
		Name:              s.Name(),
		Domain:            s.Domain(),
		DataAddress:       s.DataAddress(),
		PeerAddress:       s.PeerAddress(),
		OperatorAddress:   s.OperatorAddress(),
		FabricAddress:     s.FabricAddress(),
		PlatformEndpoints: s.PlatformEndpoints(),
		FleetSize:         s.FleetSize(),
		Network:           geneve.VNI(s.GeneveNetwork()),
		MTU:               s.MTU(),
		Keys:              keys,
		PeerKeys:          peers.NewKeys(identity),
		HashSeed:          seed,
		Workers:           s.Workers(),
		MaxFlows:          s.MaxFlows(),
		ControlRate:       s.ControlRate(),
		OpeningLifetime:   s.OpeningLifetime(),
		StopTimeout:       s.StopTimeout(),
		AuditEntries:      s.AuditEntries(),
	}, nil
}

func loadKeys(files settings.Files) (*geneve.Keys, error) {
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
	ring, err := geneve.NewKeyRing(current, accepted...)
	if err != nil {
		return nil, err
	}
	return geneve.NewKeys(ring), nil
}
