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
	tickInterval    = 100 * time.Millisecond
	exchangeTimeout = 600 * time.Millisecond
	pullTimeout     = 30 * time.Second
	inboxCapacity   = 256
	// maxCalls is the maximum number of exchanges in progress. Further messages are dropped.
	maxCalls = 64
	maxPulls = 4
	// maxLists is the number of member lists, the newest ones, whose VMs can be called.
	maxLists = 8
)

// Observer is notified by a Driver.
type Observer interface {
	// AfterTick is called on the control goroutine after each tick.
	AfterTick(now clock.Millis, m *member.Machine)
	// MessageReceived is called on the control goroutine for each message from a VM, after the
	// machine has handled it.
	MessageReceived(now clock.Millis, from fleet.ID, m *member.Message)
	// HandleEvent is called on the control goroutine for each event of the machine.
	HandleEvent(e member.Event)
	// Pull pulls a document from a VM for a PullRequested event with the given version. It is
	// called on a separate goroutine.
	Pull(ctx context.Context, from *fleet.VM, name string, version uint64)
}

// Driver runs a member.Machine on one goroutine, the control goroutine, and sends and receives
// its messages. It implements the Exchange method of Handler.
type Driver struct {
	clock     clock.Clock
	client    *Client
	observer  Observer
	machine   *member.Machine
	inbox     chan func(now clock.Millis) // actions for the control goroutine
	callSlots chan struct{}               // limits the exchanges in progress
	pullSlots chan struct{}               // limits the pulls in progress
	lists     []*fleet.List               // newest first, used by the control goroutine only
	dropped   atomic.Uint64
	ctx       context.Context // context of Run, which ends the calls in progress

	// While the machine handles a message from caller, Send keeps the answer to it here, so
	// that Exchange can return it. Used by the control goroutine only.
	caller fleet.ID
	answer *member.Message
}

// NewDriver returns a driver for the machine that create returns. create must use the driver
// as the sink of the machine.
func NewDriver(
	c clock.Clock, client *Client, observer Observer,
	create func(now clock.Millis, sink member.Sink) *member.Machine,
) *Driver {
	d := &Driver{
		clock:     c,
		client:    client,
		observer:  observer,
		inbox:     make(chan func(clock.Millis), inboxCapacity),
		callSlots: make(chan struct{}, maxCalls),
		pullSlots: make(chan struct{}, maxPulls),
	}
	d.machine = create(c.Now(), d)
	return d
}

// Run runs the control goroutine until the context is done.
func (d *Driver) Run(ctx context.Context) {
	d.ctx = ctx
	ticker := time.NewTicker(tickInterval)
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

// tick charges the traffic on the sockets to the rate limit and advances the machine.
func (d *Driver) tick() {
	now := d.clock.Now()
	d.client.limiter.Reconcile(now, d.client.traffic.Sent())
	d.machine.Tick(now)
	d.observer.AfterTick(now, d.machine)
}

// Do runs an action on the control goroutine, which may use the machine, and waits until it
// has finished. It returns false if the context is done before that. It must not be called
// on the control goroutine.
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

// SetList sets the member list of the machine, from which the driver also takes the addresses
// of VMs. It returns false if the context is done first.
func (d *Driver) SetList(ctx context.Context, list *fleet.List) bool {
	return d.Do(ctx, func(now clock.Millis, m *member.Machine) {
		if len(d.lists) == 0 || list.Version() > d.lists[0].Version() {
			d.lists = truncate(append([]*fleet.List{list}, d.lists...), maxLists)
		}
		m.SetList(now, list)
	})
}

// Exchange passes a received message to the machine and returns the machine's answer, or nil
// if there is none or the context is done first.
func (d *Driver) Exchange(ctx context.Context, from fleet.ID, message *member.Message) *member.Message {
	var answer *member.Message
	completed := d.Do(ctx, func(now clock.Millis, m *member.Machine) {
		d.caller, d.answer = from, nil
		m.Receive(now, from, message)
		answer = d.answer
		d.caller, d.answer = 0, nil
		d.observer.MessageReceived(now, from, message)
	})
	if !completed {
		return nil
	}
	return answer
}

// DroppedMessages returns the number of messages that were dropped because too many
// exchanges were in progress.
func (d *Driver) DroppedMessages() uint64 { return d.dropped.Load() }

// Send implements member.Sink. It sends messages on separate goroutines, and drops a message
// if too many exchanges are in progress or no list has the VM.
func (d *Driver) Send(to fleet.ID, m *member.Message) {
	if m.Kind == member.Answer && to == d.caller {
		d.answer = m
		return
	}
	vm, found := d.find(to)
	if !found {
		return
	}
	select {
	case d.callSlots <- struct{}{}:
		go d.call(d.ctx, vm, m)
	default:
		d.dropped.Add(1)
	}
}

// Event implements member.Sink. It passes events to the observer and starts the pulls that the
// machine asks for.
func (d *Driver) Event(e member.Event) {
	d.observer.HandleEvent(e)
	if e.Kind != member.PullRequested {
		return
	}
	vm, found := d.find(e.Member)
	if !found {
		return
	}
	select {
	case d.pullSlots <- struct{}{}:
		go d.pull(d.ctx, vm, e)
	default: // the machine repeats the event
	}
}

// find returns a VM as described in the newest list that contains it. Older lists count too,
// because the VMs of the preceding list are still called while the list changes. It returns
// false before Run is called.
func (d *Driver) find(id fleet.ID) (*fleet.VM, bool) {
	for _, list := range d.lists {
		if vm, found := list.Find(id); found && d.ctx != nil {
			return vm, true
		}
	}
	return nil, false
}

// pull lets the observer pull the document of a PullRequested event.
func (d *Driver) pull(ctx context.Context, vm *fleet.VM, e member.Event) {
	defer func() { <-d.pullSlots }()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	d.observer.Pull(ctx, vm, e.Name, e.Version)
}

// call sends a message and passes the answer to the machine. It ignores errors, because the
// machine has timeouts for missing answers.
func (d *Driver) call(ctx context.Context, vm *fleet.VM, m *member.Message) {
	defer func() { <-d.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := d.client.Exchange(ctx, vm, m)
	if err != nil || answer == nil {
		return
	}
	d.Do(ctx, func(now clock.Millis, machine *member.Machine) {
		machine.Receive(now, vm.ID(), answer)
		d.observer.MessageReceived(now, vm.ID(), answer)
	})
}
