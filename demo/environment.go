package demo

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/standin"
)

// anyPort is a loopback address with a port that the kernel selects.
const anyPort = "127.0.0.1:0"

// environment holds the systems around the entry VMs: the platform, the fabric, the targets
// and the dialer of the clients.
type environment struct {
	deployment         deployment
	seed               uint64
	log                *progress    // progress lines of the demo
	logger             *slog.Logger // log of the daemons and the fabric
	random             *rand.Rand
	certificates       *standin.Certificates
	executionLog       *standin.ExecutionLog
	keys               *geneve.Keys
	dialer             *dialer
	platform           *standin.Platform
	platformURL        string
	stopPlatform       context.CancelFunc
	fabric             *standin.Fabric
	booking            netip.AddrPort
	photos             netip.AddrPort
	misroutedResponses atomic.Int64 // from targets of another service

	mu      sync.RWMutex
	vms     *vmSet
	tables  *tablesDocument
	list    *fleet.List
	targets []*standin.Target
	// domains maps the name of each target to its failure domain.
	domains map[string]string
}

func newEnvironment(ctx context.Context, d deployment, seed uint64, log *progress, logger *slog.Logger) (*environment, error) {
	certificates, err := standin.NewCertificates()
	if err != nil {
		return nil, err
	}
	keys, err := newKeys(seed)
	if err != nil {
		return nil, err
	}
	e := &environment{
		deployment:   d,
		seed:         seed,
		log:          log,
		logger:       logger,
		random:       rand.New(rand.NewPCG(seed, seed)),
		certificates: certificates,
		executionLog: standin.NewExecutionLog(),
		keys:         keys,
		dialer:       &dialer{certificates: certificates, refusals: newRefusals()},
		domains:      make(map[string]string),
	}
	if err = e.start(ctx); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// start starts the platform, the fabric and the initial targets.
func (e *environment) start(ctx context.Context) (err error) {
	if err = e.startPlatform(ctx); err != nil {
		return err
	}
	e.fabric, err = standin.StartFabric(ctx, anyPort, e.logger,
		standin.WithFabricSeed(e.seed), standin.WithDeliveryCheck(e.allowed), standin.WithRefusalHandler(e.dialer.refusals.notify))
	if err != nil {
		return err
	}
	if e.booking, err = e.fabric.Route(ctx, bookingAddress+":0"); err != nil {
		return err
	}
	if e.photos, err = e.fabric.Route(ctx, photosAddress+":0"); err != nil {
		return err
	}
	e.tables = newTables(e.deployment, e.booking, e.photos)
	for _, s := range []service{e.deployment.booking, e.deployment.photos} {
		for i := range s.hosts {
			if _, err = e.addTarget(ctx, s.pool, i, "serving"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *environment) startPlatform(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", anyPort)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	e.platform = standin.NewPlatform()
	e.platformURL = "http://" + listener.Addr().String()
	e.stopPlatform = stop
	go func() { _ = e.platform.Serve(serving, listener) }()
	return nil
}

// addTarget starts a target and adds it to the tables without publishing them.
func (e *environment) addTarget(ctx context.Context, pool string, number int, mark string) (*standin.Target, error) {
	name := fmt.Sprintf("%s-%02d", pool, number+1)
	target, err := standin.StartTarget(ctx, pool, name, anyPort, slotsPerHost, e.certificates, e.executionLog)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	domain := e.deployment.domains[number%len(e.deployment.domains)]
	e.targets = append(e.targets, target)
	e.domains[name] = domain
	e.tables.add(target, domain, mark)
	return target, nil
}

// allowed reports whether a packet went to a target of its destination's service.
func (e *environment) allowed(delivery standin.Delivery) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.tables.allowed(delivery)
}

// editTables changes the tables, increments their version and publishes them.
func (e *environment) editTables(edit func(*tablesDocument)) (version uint64, err error) {
	e.mu.Lock()
	edit(e.tables)
	e.tables.Version++
	version = e.tables.Version
	document, err := e.tables.document()
	e.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return version, e.platform.Publish(published.Tables, document)
}

// publishList publishes the next version of the list of entry VMs.
func (e *environment) publishList(vms []fleet.VM) (version uint64, err error) {
	e.mu.Lock()
	version = 1
	if e.list != nil {
		version = e.list.Version() + 1
	}
	e.list = fleet.NewList(version, vms)
	document := e.list.Document()
	e.mu.Unlock()
	return version, e.platform.Publish(published.List, document)
}

// url returns the URL of a path on any target. Its host is the name in the certificate.
func (e *environment) url(path string) string {
	return "https://" + e.certificates.Client().ServerName + path
}

// checkPool counts a response from a target of another service as misrouted.
func (e *environment) checkPool(response *http.Response, pool string) {
	if got := response.Header.Get(standin.PoolHeader); got != pool {
		e.misroutedResponses.Add(1)
		e.log.printf("response from pool %q instead of %q", got, pool)
	}
}

func (e *environment) close() {
	for _, t := range e.targets {
		t.Close()
	}
	if e.fabric != nil {
		e.fabric.Close()
	}
	if e.stopPlatform != nil {
		e.stopPlatform()
	}
}

// sleep waits for a duration and reports false if ctx was done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
