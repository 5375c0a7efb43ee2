// Package front implements the daemon of an entry VM. It connects the packet engine and the
// catalog of targets to sockets, timers, logs and metrics.
package front

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/region"
	"github.com/almondflow/almondflow/siblings"
)

// PacketCodec decodes and encodes packets in the format of a platform.
type PacketCodec interface {
	// Decode decodes the headers of a client's packet. It returns an error if they are malformed.
	Decode(datagram []byte, packet *inband.Packet) error
	// PrefixSize returns the size in bytes of the header that SetTarget adds.
	PrefixSize() int
	// SetTarget writes the header that directs a packet to a target. The packet starts PrefixSize
	// bytes into the buffer.
	SetTarget(buffer []byte, identity uint64, tag inband.Tag)
	// EncodeReset encodes a reset for the client of a flow and returns its length in bytes.
	EncodeReset(buffer []byte, key inband.Key, seq uint32) int
}

// Store reads the platform's store.
type Store interface {
	// Page reads the page of tables and targets after a key. It returns the key after which the
	// next page starts, or an empty key after the last page.
	Page(ctx context.Context, after string) (*catalog.Changes, string, error)
	// Changes reads the changes after a revision. While there are none, it waits at most the
	// given time.
	Changes(ctx context.Context, after inband.Revision, wait time.Duration) (*catalog.Changes, error)
}

// Options holds the parts of a daemon that depend on the platform and the process.
type Options struct {
	PacketCodec   PacketCodec
	Store         Store
	Connector     Connector // connects to targets; the daemon's own if nil
	ReadinessPath string    // URL path of readiness checks
	SettingsPath  string    // reloaded when it changes; empty if there is no file
	// DecodeParts returns the optional parts that the rules of the settings turn on. If it is nil, all are off.
	DecodeParts func(rules []string) Parts
	LogOutput   io.Writer // receives log lines
}

// parts returns the optional parts that the settings turn on.
func (o *Options) parts(settings *Settings) Parts {
	if o.DecodeParts == nil {
		return Parts{}
	}
	return o.DecodeParts(strings.Split(settings.Rules, ","))
}

// tickInterval is the time between two runs of the periodic tasks.
const tickInterval = 250 * clock.Millisecond

// pruneInterval is the time between two removals of targets that left long ago.
const pruneInterval = 20 * clock.Second

// Daemon forwards client packets to targets, reads the platform's store, and exchanges views of the
// store with the daemons of other entry VMs. It is created by New.
type Daemon struct {
	settings    atomic.Pointer[Settings]
	options     Options
	parts       Parts
	clock       clock.Clock
	log         *slog.Logger
	logWriter   *asyncWriter
	lineLimiter *lineLimiter
	sockets     *sockets
	metrics     *metrics
	auditTrail  auditTrail

	settingsText  []byte // of the last check of the file; used by the periodic tasks only
	pauseDetector pauseDetector
	prober        *prober

	// mu guards the fields below. It is not held during blocking calls.
	mu                  sync.Mutex
	engine              *inband.Engine
	regions             region.Map // of failure domains, as the engine has them
	catalog             *catalog.Catalog
	readScheduler       *catalog.ReadScheduler
	members             *siblings.Members
	discovery           siblings.Discovery
	controlBucket       *tokenBucket // limits messages to other VMs
	viewBucket          *tokenBucket // limits views that other VMs fetch
	probeBucket         *tokenBucket // limits probes of targets
	probesOut           int          // probes that wait for their outcome
	random              *rand.Rand
	recentTargets       []*inband.Target // changed recently, sent with announcements
	recentUntil         clock.Millis     // of recentTargets
	recentDrains        recentDrains
	reasonCounts        [inband.ReasonCount]uint64
	isStopping          bool
	nextPruneAt         clock.Millis
	overloadedPools     int  // as last logged
	knowsLoad           bool // reports of other VMs count, as last logged
	refusals            refusalLog
	readyAt             clock.Millis
	isStoreFailing      bool
	isFetching          bool         // a view from a sibling
	suspectsSentAt      clock.Millis // when suspicions were last sent to siblings
	ignoreMessagesUntil clock.Millis // messages before then may have waited during a pause
	pending             []pendingPacket
	fullRead            catalog.FullRead
	cachedView          compressedView
	// Versions of the tables in announcements: the newest, its predecessor, and when the newest
	// was first announced.
	newestVersion   int64
	previousVersion int64
	newestVersionAt clock.Millis
	era             uint64 // of the store, in the view
	hasDiverged     bool   // the view differs from a sibling's view of the same revision
	probes          chan queuedProbe
	readerWakeUp    chan struct{} // makes readStore recompute when the next read is due
}

// New creates a daemon and binds its sockets. It returns the error of a socket that cannot be
// bound.
func New(settings *Settings, options Options) (*Daemon, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &Daemon{
		options: options, parts: options.parts(settings), clock: clock.NewSystem(),
		logWriter: newAsyncWriter(), lineLimiter: newLineLimiter(settings.LogLinesPerSecond),
		catalog: catalog.New(), readScheduler: catalog.NewReadScheduler(random),
		readerWakeUp: make(chan struct{}, 1), probes: make(chan queuedProbe, maxProbesAtOnce), metrics: newMetrics(),
	}
	d.settings.Store(settings)
	d.controlBucket = newTokenBucket(controlBytesPerSecond)
	d.viewBucket = newTokenBucket(settings.viewBytesPerSecond())
	d.probeBucket = newTokenBucket(probesPerSecond)
	d.random = random
	d.prober = newProber(cmp.Or[Connector](options.Connector, tcpConnector{}))
	d.pauseDetector.detector = clock.NewPauseDetector(d.clock)
	d.log = newLogger(d.logWriter)
	d.engine = inband.New(inband.Options{
		Domain: settings.Domain, Policy: settings.policy(d.parts), MaxFlows: settings.MaxFlows,
		FlowLifetime: clock.Millis(settings.FlowLifetimeSeconds) * clock.Second, Seed: rand.Uint64(),
		SharesLoad:       d.parts.SharesLoad,
		SlowStartRank:    d.slowStartRank,
		RefusesByUrgency: d.parts.RefusesByUrgency,
	})
	var err error
	if d.sockets, err = bind(settings); err != nil {
		return nil, err
	}
	d.members = siblings.NewMembers(siblings.Contact{
		Address: localAddress(d.sockets.messages), Domain: settings.Domain, Capacity: settings.capacity(),
	}, random)
	d.applyRegions(d.clock.Now(), settings)
	d.discovery = siblings.NewDiscovery(localAddress(d.sockets.messages).Addr(), settings.Seeds, random)
	d.readScheduler.SetRank(d.discovery.Rank(d.clock.Now(), 0), 1)
	if settings.FirstStart && !d.isSeed() {
		d.readScheduler.DelayFirstRead(d.clock.Now())
	}
	return d, nil
}

// Run serves until the context is done. It then shuts down gracefully: open flows continue for
// the time that the setting "stop_ms" gives. It always returns nil.
func (d *Daemon) Run(ctx context.Context) error {
	done := make(chan struct{})
	defer close(done)
	go d.logWriter.run(d.options.LogOutput, done)
	go d.readPackets()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	go d.readStore(work)
	servers := d.startServers()
	go d.readMessages(work)
	go d.runProbes(work)
	go d.runPeriodicTasks(work)
	d.log.Info("started", "at_ms", d.clock.Now(), "name", d.settings.Load().Name, "domain", d.settings.Load().Domain,
		"policy", d.settings.Load().Policy, "packets", localAddress(d.sockets.packets))
	<-ctx.Done()
	d.stop(servers)
	return nil
}

// stop reports the VM as not ready, informs its siblings, and closes the sockets after the
// shutdown time, during which packets are still forwarded.
func (d *Daemon) stop(servers []*http.Server) {
	d.mu.Lock()
	d.isStopping = true
	d.mu.Unlock()
	d.log.Info("stopping", "at_ms", d.clock.Now(), "ends_in_ms", d.settings.Load().StopMS)
	d.mu.Lock()
	recipients := addressesOf(d.members.Known(d.clock.Now()))
	d.mu.Unlock()
	d.send(siblings.Message{Kind: siblings.Leave}, recipients[:min(len(recipients), maxLocalRecipients)])
	time.Sleep(d.settings.Load().StopMS.Duration())
	d.log.Info("stopped", "at_ms", d.clock.Now(), "lines_dropped", d.logWriter.dropped.Load())
	for _, server := range servers {
		_ = server.Close() // the process exits
	}
	_ = d.logWriter.flush(d.options.LogOutput) // there is nowhere left to report an error
	_ = d.sockets.packets.Close()
	_ = d.sockets.messages.Close()
}

// runPeriodicTasks runs the tasks that depend on time instead of packets or messages.
func (d *Daemon) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	d.contactSeeds()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.clock.Now()
		d.checkForPause(now)
		d.runMaintenance(now)
		d.handleUnresponsive(now)
		d.startFirstContact(now)
		if i%loadTicks == 0 {
			d.shareLoad(now)
		}
		if i%remoteLoadTicks == 0 {
			d.shareRemoteLoad(now)
		}
		if i%settingsCheckTicks == 0 {
			d.reloadChanged()
		}
		if i%viewRequestTicks == 0 {
			d.requestInitialView(now)
		}
		if i%evaluationTicks == 0 {
			d.evaluateTargets(now)
			d.logRefusals(now)
		}
		if i%heartbeatTicks == 0 {
			d.sendHeartbeat(now)
		}
	}
}

// runMaintenance removes expired state, updates what depends on the other VMs, and logs changes
// in the number of overloaded pools and the number of suppressed log lines.
func (d *Daemon) runMaintenance(now clock.Millis) {
	d.mu.Lock()
	d.engine.Sweep(now)
	settled := d.settleDrains(now)
	d.updateEngine()
	d.updateRank(now)
	d.engine.SetLocalVMs(1 + d.members.CountLocal(now))
	if d.catalog.IsComplete() {
		d.metrics.viewAges.RecordValue(float64(d.catalog.Age(now)))
	}
	if now >= d.nextPruneAt {
		d.nextPruneAt = now + pruneInterval
		d.pruneTargets(now)
	}
	loadChange := d.updateLoadNews(now)
	suppressed := d.lineLimiter.refill(now)
	overloaded := d.engine.OverloadedPools()
	isChanged := overloaded != d.overloadedPools
	d.overloadedPools = overloaded
	d.mu.Unlock()
	d.logChanges(now, lostDrainSource, settled)
	if loadChange.isChanged {
		loadChange.write(d.log)
	}
	if isChanged {
		d.log.Warn("pools_full", "at_ms", now, "count", overloaded)
	}
	if suppressed > 0 {
		d.log.Info("lines_left_out", "at_ms", now, "count", suppressed)
	}
}
