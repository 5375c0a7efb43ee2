package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

const (
	tickPeriod      = 100 * time.Millisecond
	exchangeTimeout = 600 * time.Millisecond
	pullTimeout     = 30 * time.Second
	inboxLength     = 256
	// maximumCalls bounds the exchanges in progress; further messages are dropped.
	maximumCalls = 64
	maximumPulls = 4
	// rememberedLists is the number of lists whose VMs can still be called.
	rememberedLists = 8
)

// Observer takes what the control goroutine of a Driver reports.
type Observer interface {
	// Ticked is called on the control goroutine after each tick.
	Ticked(now clock.Millis, m *member.Machine)
	// Received is called on the control goroutine for each message of a VM.
	Received(now clock.Millis, from fleet.ID, m *member.Message)
	// Event is called on the control goroutine for each event of the machine.
	Event(e member.Event)
	// Pull pulls a document from a VM. It is called on a goroutine of its own.
	Pull(ctx context.Context, from *fleet.VM, name string, version uint64)
}

// Driver runs a membership machine on one control goroutine and carries its messages. It
// implements the Exchange method of Handler.
type Driver struct {
	clock    clock.Clock
	client   *Client
	observer Observer
	machine  *member.Machine
	inbox    chan func(now clock.Millis)
	calls    chan struct{}
	pulls    chan struct{}
	lists    []*fleet.List // newest first, of the control goroutine
	dropped  atomic.Uint64
	ctx      context.Context // ends the calls in progress when Run ends

	// While a probe is received, its answer is returned by the call that brought it.
	answering fleet.ID
	answer    *member.Message
}

// NewDriver returns a driver. create makes the machine with the driver as its sink.
func NewDriver(
	c clock.Clock, client *Client, observer Observer,
	create func(now clock.Millis, sink member.Sink) *member.Machine,
) *Driver {
	d := &Driver{
		clock:    c,
		client:   client,
		observer: observer,
		inbox:    make(chan func(clock.Millis), inboxLength),
		calls:    make(chan struct{}, maximumCalls),
		pulls:    make(chan struct{}, maximumPulls),
	}
	d.machine = create(c.Now(), d)
	return d
}

// Run drives the machine until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.ctx = ctx
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-d.inbox:
			action(d.clock.Now())
		case <-ticker.C:
			d.tick()
		}
	}
}

func (d *Driver) tick() {
	now := d.clock.Now()
	d.client.budget.Reconcile(now, d.client.traffic.Sent())
	d.machine.Tick(now)
	d.observer.Ticked(now, d.machine)
}

// Do runs an action with the machine on the control goroutine and waits for its end. It
// returns false when the context ends first. It must not be called on the control
// goroutine itself.
func (d *Driver) Do(ctx context.Context, action func(now clock.Millis, m *member.Machine)) bool {
	done := make(chan struct{})
	run := func(now clock.Millis) {
		action(now, d.machine)
		close(done)
	}
	select {
	case d.inbox <- run:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetList puts a list in force, with the addresses that messages go to.
func (d *Driver) SetList(ctx context.Context, list *fleet.List) bool {
	return d.Do(ctx, func(now clock.Millis, m *member.Machine) {
		if len(d.lists) == 0 || list.Version() > d.lists[0].Version() {
			d.lists = firstOf(append([]*fleet.List{list}, d.lists...), rememberedLists)
		}
		m.SetList(now, list)
	})
}

// Exchange hands a message to the machine and returns its answer.
func (d *Driver) Exchange(ctx context.Context, from fleet.ID, message *member.Message) *member.Message {
	var answer *member.Message
	completed := d.Do(ctx, func(now clock.Millis, m *member.Machine) {
		d.answering, d.answer = from, nil
		m.Receive(now, from, message)
		answer = d.answer
		d.answering, d.answer = 0, nil
		d.observer.Received(now, from, message)
	})
	if !completed {
		return nil
	}
	return answer
}

// Dropped returns how many messages were dropped because too many calls were in
// progress.
func (d *Driver) Dropped() uint64 { return d.dropped.Load() }

// Send implements member.Sink.
func (d *Driver) Send(to fleet.ID, m *member.Message) {
	if m.Kind == member.Answer && to == d.answering {
		d.answer = m
		return
	}
	vm, listed := d.find(to)
	if !listed {
		return
	}
	select {
	case d.calls <- struct{}{}:
		go d.call(d.ctx, vm, m)
	default:
		d.dropped.Add(1)
	}
}

// Event implements member.Sink.
func (d *Driver) Event(e member.Event) {
	d.observer.Event(e)
	if e.Kind != member.PullWanted {
		return
	}
	vm, listed := d.find(e.Member)
	if !listed {
		return
	}
	select {
	case d.pulls <- struct{}{}:
		go d.pull(d.ctx, vm, e)
	default: // the machine asks again
	}
}

// find looks a VM up in the newest list that names it. VMs of older lists are still asked
// while a change of the list is under way.
func (d *Driver) find(id fleet.ID) (*fleet.VM, bool) {
	for _, list := range d.lists {
		if vm, listed := list.Find(id); listed && d.ctx != nil {
			return vm, true
		}
	}
	return nil, false
}

func (d *Driver) pull(ctx context.Context, vm *fleet.VM, e member.Event) {
	defer func() { <-d.pulls }()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	d.observer.Pull(ctx, vm, e.Name, e.Version)
}

// call delivers a message and hands the answer back to the machine. Failures are what
// the machine's timeouts are for.
func (d *Driver) call(ctx context.Context, vm *fleet.VM, m *member.Message) {
	defer func() { <-d.calls }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := d.client.Exchange(ctx, vm, m)
	if err != nil || answer == nil {
		return
	}
	d.Do(ctx, func(now clock.Millis, machine *member.Machine) {
		machine.Receive(now, vm.ID(), answer)
		d.observer.Received(now, vm.ID(), answer)
	})
}
