package inband

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// Times of the exchange of reports.
const (
	fleetStep     = 10 * clock.Millisecond
	sweepInterval = 250 * clock.Millisecond
	reportTime    = 500 * clock.Millisecond
	maxTransit    = 200 * clock.Millisecond
	aliveTimeout  = 4 * clock.Second // after the last sign of a VM
	recipients    = 3
	reportBytes   = 640
)

// loadFleet is a number of VMs of one failure domain that place flows on its targets and tell each other of
// them. Messages take up to maxTransit.
type loadFleet struct {
	now       clock.Millis
	random    *rand.Rand
	vms       []*loadVM
	targets   []Published
	rate      float64                      // requests per second, through all VMs
	serviceMS func(id string) clock.Millis // how long a target takes
	isLost    func(from, to *loadVM) bool  // whether the message is lost
	messages  []loadMessage
	clients   int
}

type loadVM struct {
	index    int
	engine   *Engine
	requests []fakeRequest
	isDown   bool         // killed or paused
	upAt     clock.Millis // when it was last up
}

// fakeRequest is a request of a client that has its own flow.
type fakeRequest struct {
	packet Packet
	isSent bool // the request itself, after the opening
	doneAt clock.Millis
}

type loadMessage struct {
	at       clock.Millis
	from, to *loadVM
	data     []byte
}

func newLoadFleet(vms, targets int, seed uint64) *loadFleet {
	f := &loadFleet{
		random: rand.New(rand.NewPCG(seed, 7)), rate: 1200,
		serviceMS: func(string) clock.Millis { return 50 },
		isLost:    func(_, _ *loadVM) bool { return false },
	}
	for i := range targets {
		f.targets = append(f.targets, Published{Target: &Target{ID: fmt.Sprintf("t%d", i), Service: "orders", Domain: "east", Slots: 2, StartedAtMS: 1000}})
	}
	route := Route{Name: "orders", Address: fleetAddress, Shares: []Share{{Service: "orders", Weight: 1}}}
	for i := range vms {
		e := New(Options{Domain: "east", Policy: Local{}, MaxFlows: 20000, FlowLifetime: clock.Minute, Seed: seed + uint64(i), SharesLoad: true})
		e.ReplaceView(&Tables{Version: 1, IdleMS: 15000, Routes: []Route{route}}, f.targets)
		f.vms = append(f.vms, &loadVM{index: i, engine: e})
	}
	return f
}

var fleetAddress = netip.MustParseAddrPort("198.18.0.1:8443")

func (f *loadFleet) address(vm *loadVM) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(vm.index >> 8), byte(vm.index)}), 7720)
}

// run lets time pass.
func (f *loadFleet) run(d clock.Millis) {
	for end := f.now + d; f.now < end; {
		f.now += fleetStep
		f.deliver()
		for _, vm := range f.vms {
			if !vm.isDown {
				vm.upAt = f.now
				f.step(vm)
			}
		}
	}
}

// step lets a VM forward what its clients send, and sweep and report when it is time.
func (f *loadFleet) step(vm *loadVM) {
	f.advanceRequests(vm)
	for range f.arrivals() {
		f.clients++
		client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(f.clients >> 16), byte(f.clients >> 8)}), uint16(f.clients))
		p := Packet{Key: Key{Client: client, Destination: fleetAddress}, Flags: Opening, Seq: 100}
		f.open(vm, p)
	}
	phase := clock.Millis(vm.index) * fleetStep
	if (f.now+phase)%sweepInterval == 0 {
		vm.engine.SetLocalVMs(f.knownAlive())
		vm.engine.Sweep(f.now)
	}
	if (f.now+phase)%reportTime == 0 {
		f.report(vm)
	}
}

// arrivals returns how many requests come through a VM in a step.
func (f *loadFleet) arrivals() int {
	expected := f.rate / float64(f.alive()) * float64(fleetStep) / float64(clock.Second)
	count := int(expected)
	if f.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (f *loadFleet) open(vm *loadVM, p Packet) {
	verdict := vm.engine.Handle(f.now, &p)
	p.Flags, p.Tag, p.DataLength, p.Ack = Acknowledging, verdict.Tag(), 50, 500
	vm.requests = append(vm.requests, fakeRequest{packet: p, doneAt: f.now + f.serviceMS(verdict.Backend.Target().ID)})
}

// advanceRequests sends the requests of flows that were opened, and the last packets of those that were
// answered.
func (f *loadFleet) advanceRequests(vm *loadVM) {
	var remaining []fakeRequest
	for _, r := range vm.requests {
		if !r.isSent {
			vm.engine.Handle(f.now, &r.packet)
			r.isSent = true
		}
		if f.now < r.doneAt {
			remaining = append(remaining, r)
			continue
		}
		r.packet.Flags, r.packet.DataLength = Acknowledging|Ending, 0
		r.packet.Seq, r.packet.Ack = r.packet.Seq+50, r.packet.Ack+500
		vm.engine.Handle(f.now, &r.packet)
	}
	vm.requests = remaining
}

// report sends a VM's report to some others.
func (f *loadFleet) report(vm *loadVM) {
	if !vm.engine.HasMeasuredLoad() {
		return
	}
	report := vm.engine.TakeLoadReport(f.now)
	for _, i := range f.random.Perm(len(f.vms))[:min(recipients, len(f.vms))] {
		if to := f.vms[i]; to != vm && !f.isLost(vm, to) {
			transit := clock.Millis(f.random.IntN(int(maxTransit)))
			f.messages = append(f.messages, loadMessage{f.now + transit, vm, to, load.Encode(&report, reportBytes)})
		}
	}
}

// deliver hands over the messages that have arrived.
func (f *loadFleet) deliver() {
	var remaining []loadMessage
	for _, m := range f.messages {
		if m.at > f.now {
			remaining = append(remaining, m)
			continue
		}
		report, err := load.Decode(m.data)
		if err != nil {
			panic(err) // Encode wrote it
		}
		if !m.to.isDown {
			m.to.engine.ReceiveLoad(f.now, f.address(m.from), "east", report)
		}
	}
	f.messages = remaining
}

// knownAlive returns how many VMs count as alive, which they do for a while after their end.
func (f *loadFleet) knownAlive() int {
	count := 0
	for _, vm := range f.vms {
		if f.now-vm.upAt < aliveTimeout {
			count++
		}
	}
	return count
}

func (f *loadFleet) alive() int {
	count := 0
	for _, vm := range f.vms {
		if !vm.isDown {
			count++
		}
	}
	return count
}

// truth returns what all VMs together have measured at a target.
func (f *loadFleet) truth(id string) load.Work {
	var sum load.Work
	for _, vm := range f.vms {
		if b := vm.engine.byID[id]; !vm.isDown {
			sum = sum.Add(b.meter.Average(b.flows))
		}
	}
	return sum
}

// occupy lets a VM begin requests at a target that take long.
func (f *loadFleet) occupy(vm *loadVM, id string, requests int) {
	b := vm.engine.byID[id]
	for range requests {
		b.meter.Begin(f.now)
		b.flows++
	}
	vm.engine.load.track(b)
}
