package main

import (
	"context"
	"flag"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/platform/standin"
)

// The soak test runs real processes between stand-ins and injects faults. Its progress is counted
// in requests instead of time, so that load on the machine changes only its duration.
var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the soak")
	soakRequests = flag.Int64("soak.requests", 400, "minimum number of served requests; a fault is injected every 20 requests")
	soakVMs      = flag.Int("soak.vms", 4, "entry VMs")
)

const (
	soakClients          = 12
	soakHosts            = 6
	maxIdleChecks        = 500                // checks of all VMs, or packets sent, after which no more progress is expected
	maxConvergenceChecks = 50 * maxIdleChecks // checks of all VMs after which they should agree; go test allows more time
	maxLoadChecks        = 20 * maxIdleChecks // checks of all VMs after which they should have heard of load
	requestsPerFault     = 20                 // served requests between two faults
	retryInterval        = 200 * time.Millisecond
	maxAttempts          = 100 // attempts after which a flow is abandoned
	requestsPerFlow      = 8
	staleTablesCalls     = 4 // store calls after which VMs have read older tables; one call may have been in progress
)

// soakDomains are the failure domains, to which VMs and hosts belong in turn.
var soakDomains = []string{"a", "b"}

// soak is the state of one run.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	kinds   []fault
	rules   string // of the VMs' settings
	store   *standin.Store
	address string // of the store
	binary  string
	ports   [4]uint16 // packets, readiness, operator, siblings
	vms     []*entryVM
	mu      sync.Mutex
	hosts   map[string]*soakHost
	// published holds the ids of hosts that take new flows.
	published map[string]bool
	drain     soakDrain
	hostCount uint64 // hosts started so far
	version   int64
	pressure  soakPressure
	// keepsFlowsAtVMs is set if the fabric hands all packets of a flow to one VM until that fails to answer, instead of
	// each to a random VM.
	keepsFlowsAtVMs bool
	served          atomic.Int64
	refused         atomic.Int64 // openings
	abandoned       atomic.Int64 // flows without an answer
	resets          atomic.Int64
	sent            atomic.Int64 // packets that clients sent
	faults          map[string]int
	logPaths        []string // log files of all processes, including terminated ones
}

// soakHost is a host with its own link.
type soakHost struct {
	*standin.Host
	domain        string
	link          *standin.UDPLink
	hasFailedLink bool // from then on, its flows may be reset
}

func TestSoak(t *testing.T) { newSoak(t).run() }

func newSoak(t *testing.T) *soak {
	t.Helper()
	return &soak{
		t: t, random: rand.New(rand.NewPCG(*soakSeed, 1)), store: standin.NewStore(), kinds: soakFaults, rules: "base,health",
		hosts: map[string]*soakHost{}, published: map[string]bool{}, version: 100, faults: map[string]int{},
	}
}

// run serves clients and injects faults until enough of both have been, and checks that all VMs recover.
func (s *soak) run() {
	server := httptest.NewServer(s.store)
	defer server.Close()
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.prepare()
	defer s.stopAll()
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { s.runClient(i, done) })
	}
	stopClients := sync.OnceFunc(func() {
		close(done)
		clients.Wait()
	})
	defer stopClients()
	idleChecks := 0 // checks since requests were served
	injected := int64(0)
	for nextFaultAt := int64(requestsPerFault); injected < *soakRequests/requestsPerFault && !s.t.Failed(); idleChecks++ {
		if s.served.Load() >= nextFaultAt {
			nextFaultAt = s.served.Load() + requestsPerFault
			idleChecks = 0
			s.injectFault()
			injected++
		}
		if idleChecks == maxIdleChecks {
			idleChecks = 0
			s.endFaults()
		}
		s.checkVersions()
	}
	s.endFaults()
	s.checkConverged()
	stopClients()
	s.t.Logf("seed %d (era at first: %v): %d requests served, %d flows given up, %d reset, %d openings refused, "+
		"%d of them for lack of room, faults %v", *soakSeed, tellsEraAtFirst(*soakSeed),
		s.served.Load(), s.abandoned.Load(), s.resets.Load(), s.refused.Load(), s.pressure.refused, s.faults)
}

// prepare builds the program and starts all hosts and VMs.
func (s *soak) prepare() {
	s.binary = filepath.Join(s.t.TempDir(), "almondflow-entry")
	if out, err := exec.Command("go", "build", "-o", s.binary, ".").CombinedOutput(); err != nil { //nolint:gosec // builds this package
		s.t.Fatalf("build: %v\n%s", err, out)
	}
	for i := range s.ports {
		s.ports[i] = freePort(s.t)
	}
	s.requireNoError(s.store.PutTablesWithPriorities(s.version, "core"))
	if tellsEraAtFirst(*soakSeed) {
		s.store.ReturnFromCopy(0) // so that all answers tell an era
	}
	for i := range soakHosts {
		s.addHost(soakDomains[i%len(soakDomains)])
	}
	for i := range *soakVMs {
		link, err := standin.NewTCPLink(s.address)
		s.requireNoError(err)
		v := &entryVM{address: netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i + 1)}), domain: soakDomains[i%len(soakDomains)], link: link}
		s.vms = append(s.vms, v)
		s.startVM(v)
	}
}

// tellsEraAtFirst reports whether the store tells an era from the start, which it does for half of the seeds. It has a
// generator of its own so that the faults of a seed stay.
func tellsEraAtFirst(seed uint64) bool { return rand.New(rand.NewPCG(seed, 2)).IntN(2) > 0 }

func (s *soak) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 1, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return uint16(socket.LocalAddr().(*net.UDPAddr).Port)
}

func (s *soak) addHost(domain string) {
	s.hostCount++
	host := startHost(s.t, s.hostCount, s.ports[0])
	s.limitRoom(host)
	link := s.addLink(host)
	s.mu.Lock()
	s.hosts[host.ID()] = &soakHost{Host: host, domain: domain, link: link}
	s.published[host.ID()] = true
	s.mu.Unlock()
	s.requireNoError(s.store.PutHost(host, "core", domain, false))
}

// addLink inserts a relay in front of a host, which accepts health checks at the address of the relay
// then.
func (s *soak) addLink(host *standin.Host) *standin.UDPLink {
	s.requireNoError(host.CloseHealth())
	for range maxAttempts {
		link, err := host.AddLink()
		s.requireNoError(err)
		if host.AddHealth() == nil {
			return link
		}
		_ = link.Close() // its port is taken for TCP
	}
	s.t.Fatal("no port is free for both TCP and UDP")
	return nil
}

func (s *soak) stopAll() {
	for _, v := range s.vms {
		s.kill(v)
		_ = v.link.Close() // its process has exited
	}
	for _, h := range s.hosts {
		_ = h.Close()
	}
	if s.t.Failed() {
		s.logDecisions()
	}
}

// logDecisions logs the decisions about flows and targets that may explain a failure. The log
// files of the processes are removed when the test ends.
func (s *soak) logDecisions() {
	for i, name := range s.logPaths {
		text, err := os.ReadFile(name) //nolint:gosec // a file of this test
		s.requireNoError(err)
		for line := range strings.Lines(string(text)) {
			for _, word := range []string{"target_dead", "no_target", "overloaded", "no_route", "refusal_", "after=gone", "after=leaving"} {
				if strings.Contains(line, word) {
					s.t.Logf("process %d: %s", i, strings.TrimSpace(line))
				}
			}
		}
	}
}

// checkConverged checks that all VMs use the newest tables and drains and hear of the others' load after the
// faults have ended.
func (s *soak) checkConverged() {
	hasConverged := func(v *entryVM) bool { return v.version == s.version && slices.Equal(v.drains, s.drain.marks()) }
	s.checkUntilAll(maxConvergenceChecks, hasConverged)
	s.checkUntilAll(maxLoadChecks, func(v *entryVM) bool { return v.hearsLoad })
	s.checkUntilAll(maxLoadChecks, func(v *entryVM) bool { return len(v.refusing) == 0 })
	for _, v := range s.vms {
		if !hasConverged(v) {
			s.t.Errorf("seed %d: %s uses version %d of the tables and drains %v, want %d and %v",
				*soakSeed, v.address, v.version, v.drains, s.version, s.drain.marks())
		}
		if !v.hearsLoad {
			s.t.Errorf("seed %d: %s hears of no load", *soakSeed, v.address)
		}
		if len(v.refusing) > 0 {
			s.t.Errorf("seed %d: %s refuses openings though there is room: %+v", *soakSeed, v.address, v.refusing)
		}
	}
}

// checkUntilAll checks the VMs until all of them meet a condition, or as often as the limit says.
func (s *soak) checkUntilAll(limit int, isMet func(*entryVM) bool) {
	for range limit {
		s.checkVersions()
		if !slices.ContainsFunc(s.vms, func(v *entryVM) bool { return !isMet(v) }) {
			return
		}
	}
}

// checkVersions checks that the version of the tables in use never decreases while a process runs. It also
// notices when all VMs know of the drain.
func (s *soak) checkVersions() {
	defer s.updateDrain()
	for _, v := range s.vms {
		s.checkRuns(v)
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		status, err := operator.NewFrontClient(netip.AddrPortFrom(v.address, s.ports[2]).String()).Status(ctx)
		cancel()
		s.noteCheck(v, err)
		if err != nil || status.View == nil {
			continue // it is starting
		}
		if status.View.Version < v.version {
			s.t.Errorf("seed %d: version of the tables is %d after %d", *soakSeed, status.View.Version, v.version)
		}
		v.version, v.drains, v.era = status.View.Version, status.Drains, status.View.Revision.Era()
		isFresh := func(p load.DomainPool) bool { return p.Age < load.ReportLifetime }
		v.hearsLoad = slices.ContainsFunc(status.Pools, isFresh)
		s.checkAdmissions(v, status.Admissions)
	}
}
