package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/control"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/peers"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/result"
)

// Daemon is the process of one entry VM. New binds its sockets. Run serves until its
// context is done and then shuts down gracefully.
type Daemon struct {
	config      Config
	log         *slog.Logger
	clock       clock.Clock
	started     clock.Millis
	self        fleet.ID
	incarnation uint64
	*sockets
	gateway     *fabric.Gateway
	counters    counters
	node        *core.Node
	placer      *placement.Placer
	rateLimiter *member.RateLimiter
	store       *published.Store
	runner      *published.Runner
	client      *published.Client
	driver      *peers.Driver
	peers       *peers.Client
	server      *peers.Server
	traffic     *peers.Traffic
	health      *healthChecker
	control     *controlLoop
	trail       *operator.AuditTrail
	metrics     *operator.Metrics
	operator    *operator.Server
	leaving     atomic.Bool
	killed      chan struct{}
	killOnce    sync.Once
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger of a Daemon. The default is slog.Default.
func WithLogger(log *slog.Logger) Option {
	return func(d *Daemon) { d.log = log }
}

// New returns a Daemon with bound sockets. It returns an error if PlatformEndpoints is empty
// or has an invalid URL. If a socket can't be bound, it closes the others and returns an error
// with the code PortInUse.
func New(ctx context.Context, config Config, options ...Option) (*Daemon, error) {
	d := &Daemon{
		config:      config.withDefaults(),
		log:         slog.Default(),
		clock:       clock.NewSystem(),
		self:        fleet.NewID(config.Name),
		incarnation: uint64(time.Now().UnixMilli()),
		store:       published.NewStore(),
		killed:      make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	d.started = d.clock.Now()
	client, err := published.NewClient(config.PlatformEndpoints)
	if err != nil {
		return nil, err
	}
	d.client = client
	if d.sockets, err = bind(ctx, &d.config); err != nil {
		return nil, err
	}
	d.build()
	return d, nil
}

// build creates the components of the daemon.
func (d *Daemon) build() {
	random := rand.New(rand.NewPCG(uint64(d.self), d.incarnation))
	d.gateway = fabric.NewGateway(d.self, d.config.FabricAddress, d.config.Keys,
		fabric.WithVNI(d.config.VNI), fabric.WithMTU(d.config.MTU), fabric.WithResultFunc(d.countPacket))
	d.rateLimiter = member.NewRateLimiter(d.started, d.config.ControlBytesPerSecond)
	d.placer = placement.New()
	d.node = core.New(core.Options{
		Self:            d.self,
		Incarnation:     d.incarnation,
		Seed:            d.config.HashSeed,
		MaxFlows:        d.config.MaxFlows,
		StartTime:       d.started,
		OpeningLifetime: d.config.OpeningLifetime,
		Placer:          d.placer,
		RateLimiter:     control.NewCoreRateLimiter(d.rateLimiter),
	})
	d.trail = operator.NewAuditTrail(d.config.AuditEntries, d.log, time.Now)
	d.metrics = operator.NewMetrics(map[string]string{"vm": d.config.Name, "domain": d.config.Domain})
	d.health = newHealthChecker(d)
	d.control = newControlLoop(d)
	d.buildPeers(random)
	runnerRandom := rand.New(rand.NewPCG(d.incarnation, uint64(d.self)))
	d.runner = published.NewRunner(d.client, d.store, d.clock, d.log, runnerRandom, d.self, d.config.FleetSize)
	d.store.Listen(func(c published.Change) { d.control.changes.push(c) })
}

// buildPeers creates the components that communicate with other daemons.
func (d *Daemon) buildPeers(random *rand.Rand) {
	d.traffic = &peers.Traffic{}
	options := []peers.Option{peers.WithRateLimiter(d.clock, d.rateLimiter), peers.WithTraffic(d.traffic)}
	d.peers = peers.NewClient(d.self, d.config.PeerKeys, options...)
	d.server = peers.NewServer(d.config.PeerKeys, &peerHandler{daemon: d}, options...)
	d.driver = peers.NewDriver(d.clock, d.peers, d.control, func(now clock.Millis, sink member.Sink) *member.Machine {
		return member.New(d.self, d.incarnation, now, random, sink,
			member.WithRateLimiter(d.rateLimiter), member.WithQuarantine(d.config.OpeningLifetime))
	})
}

// Run serves until ctx is done, then hands its flows over and returns nil. After Kill it
// returns nil without handing over. It returns an error with the code PlatformUnreachable
// if it has no tables or no list after the start timeout.
func (d *Daemon) Run(ctx context.Context) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.trail.Add(operator.ChangedState, d.config.Name, "stopped", "serving", "start")
	d.trail.Add(operator.ChangedSettings, d.config.Name, "", d.summary(), "settings")
	d.operator = operator.NewServer(d.operatorListener, d, d.trail, d.metrics)
	var goroutines sync.WaitGroup
	for _, conn := range d.data {
		goroutines.Go(func() { d.serve(conn) })
	}
	goroutines.Go(func() { d.runner.Run(servingCtx) })
	goroutines.Go(func() { _ = d.server.Serve(d.peerListener) })
	goroutines.Go(func() { d.driver.Run(servingCtx) })
	goroutines.Go(func() { d.control.applyChanges(servingCtx) })
	goroutines.Go(func() { d.control.pullRetired(servingCtx) })
	goroutines.Go(func() { d.control.pullFromSeeds(servingCtx) })
	goroutines.Go(func() { d.health.run(servingCtx) })
	err := d.waitForStop(ctx)
	if err == nil {
		d.shutDown(servingCtx)
	}
	stop()
	d.close()
	goroutines.Wait()
	d.metrics.Close()
	if errors.Is(err, errKilled) {
		return nil
	}
	return err
}

// errKilled is returned by waitForStop after Kill.
var errKilled = errors.New("killed")

// waitForStop returns nil when ctx is done, errKilled after Kill, and an error with the code
// PlatformUnreachable if tables or list are missing after the start timeout.
func (d *Daemon) waitForStop(ctx context.Context) error {
	var startTimeout <-chan time.Time
	if d.config.StartTimeout > 0 {
		timer := time.NewTimer(d.config.StartTimeout.Duration())
		defer timer.Stop()
		startTimeout = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.killed:
			return errKilled
		case <-startTimeout:
			if tables, list := d.Versions(); tables == 0 || list == 0 {
				return oops.Code(result.PlatformUnreachable).Errorf(
					"settings: $.platform_endpoints = %q: tables version %d and list version %d after %v, both are needed to serve",
					d.config.PlatformEndpoints, tables, list, d.config.StartTimeout.Duration())
			}
		}
	}
}

// summary returns the settings that the audit trail records at the start.
func (d *Daemon) summary() string {
	return "domain " + d.config.Domain + ", data " + d.DataAddress().String()
}

// Kill stops the daemon at once without handing over its flows, as a crash would.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		close(d.killed)
		d.sockets.close()
	})
}

// close closes all sockets, clients and servers.
func (d *Daemon) close() {
	d.sockets.close()
	d.operator.Close()
	d.client.Close()
	d.peers.Close()
	d.server.Stop()
}

// DataAddress returns the bound address for Geneve datagrams.
func (d *Daemon) DataAddress() netip.AddrPort { return d.data[0].Address() }

// PeerAddress returns the bound address for calls of other daemons.
func (d *Daemon) PeerAddress() netip.AddrPort {
	return d.peerListener.Addr().(*net.TCPAddr).AddrPort()
}

// OperatorAddress returns the bound address of the operator endpoint.
func (d *Daemon) OperatorAddress() netip.AddrPort {
	return d.operatorListener.Addr().(*net.TCPAddr).AddrPort()
}

// Versions returns the versions of the current tables and the current list. A version is 0
// until the first one arrives.
func (d *Daemon) Versions() (tables, list uint64) {
	return d.control.tableVersion.Load(), d.control.listVersion.Load()
}

// Voting reports whether the daemon places non-repeatable flows.
func (d *Daemon) Voting() bool { return d.control.voting.Load() }
