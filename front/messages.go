package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/siblings"
)

const (
	// transitTime is the assumed minimum latency of a message. It is added to the age of a
	// received view, so that a view which VMs forward to each other never appears younger than
	// it is.
	transitTime = 2 * clock.Millisecond
	// controlBytesPerSecond limits the messages to other VMs under all conditions. As many bytes
	// per second may be received in addition.
	controlBytesPerSecond = 12000
)

// errOtherSender means that a message names another VM than the one that it came from.
var errOtherSender = errors.New("the message names another sender")

// send adds the sender and, to some kinds of messages without contacts, those for VMs of this VM's
// own domain, and sends the message to as many recipients as the rate limit permits.
func (d *Daemon) send(message siblings.Message, recipients []netip.AddrPort) {
	if len(recipients) == 0 {
		return
	}
	d.mu.Lock()
	message.From = d.members.Self()
	if message.Contacts == nil && (message.Kind == siblings.Heartbeat || message.Kind == siblings.Hello) {
		message.Contacts = d.members.SampleContacts(d.clock.Now(), d.members.Self().Domain)
	}
	d.mu.Unlock()
	data, err := siblings.Encode(message)
	if err != nil {
		d.log.Warn("message_not_sent", "error", err)
		return
	}
	sent := d.allowMessages(len(data), len(recipients), message.Kind)
	if sent < len(recipients) {
		d.metrics.unsentMessages.Inc(int64(len(recipients) - sent))
		d.logRoutine("messages_left_out", "kind", message.Kind, "count", len(recipients)-sent, "bytes", len(data))
	}
	d.metrics.controlBytes.Inc(int64(len(data) * sent))
	if message.Kind == siblings.Load {
		d.metrics.recordLoadSent(sent, len(data))
	}
	for _, address := range recipients[:sent] {
		if _, err := d.sockets.messages.WriteToUDPAddrPort(data, address); err != nil {
			d.logRoutine("message_not_sent", "to", address, "error", err)
		}
	}
}

// allowMessages returns how many recipients may get a message of the given size within the rate
// limit. Messages about targets leave half of the burst to messages about VMs and the store, those
// about load another quarter to both.
func (d *Daemon) allowMessages(size, recipients int, kind siblings.Kind) int {
	reserve := 0
	switch kind {
	case siblings.Suspect:
		reserve = burstSeconds * controlBytesPerSecond / 2
	case siblings.Load:
		reserve = burstSeconds * controlBytesPerSecond * 3 / 4
	default:
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for sent := range recipients {
		if !d.controlBucket.allow(now, size, reserve) {
			return sent
		}
	}
	return recipients
}

// readMessages receives messages of other VMs until the socket is closed.
func (d *Daemon) readMessages(ctx context.Context) {
	buffer := make([]byte, siblings.MaxMessageBytes)
	for {
		n, source, err := d.sockets.messages.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Warn("receive_failed", "error", err)
			continue
		}
		message, err := decodeFrom(buffer[:n], source)
		if err != nil {
			d.logRoutine("message_ignored", "source", source, "error", err)
			continue
		}
		now := d.clock.Now()
		d.checkForPause(now)
		if d.ignoresMessages(now) {
			d.logRoutine("message_ignored", "at_ms", now, "error", errPausedMeanwhile)
			continue
		}
		d.receive(ctx, message)
	}
}

// decodeFrom decodes a message that came from an address. It returns an error if the message is malformed or
// names another sender, as a forged one would.
func decodeFrom(data []byte, source netip.AddrPort) (*siblings.Message, error) {
	message, err := siblings.Decode(data)
	if err != nil {
		return nil, err
	}
	if message.From.Address != netip.AddrPortFrom(source.Addr().Unmap(), source.Port()) {
		return nil, fmt.Errorf("%w: %s", errOtherSender, message.From.Address)
	}
	return message, nil
}

// ignoresMessages reports whether to ignore messages because they may have waited while the machine
// was paused.
func (d *Daemon) ignoresMessages(now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now < d.ignoreMessagesUntil
}

// receive processes a message: it updates members, target health and the view, and forwards the
// view if the message made it newer.
func (d *Daemon) receive(ctx context.Context, m *siblings.Message) {
	now := d.clock.Now()
	if m.Kind == siblings.Load {
		d.receiveLoad(now, m)
		return
	}
	d.mu.Lock()
	d.updateMembers(now, m)
	d.engine.MarkReachable(m.From.Domain)
	d.engine.ReceiveSuspicions(now, m.From.Address, m.From.Domain, m.Suspicions)
	confirmed := d.engine.ReceiveProbes(now, m.From.Domain, m.Probes)
	d.engine.ReceiveOutcomes(now, m.From.Domain, m.Outcomes)
	known := d.engine.KnownOutcomes(now, m.Suspicions)
	applied, isNewer, needsFetch := d.mergeMessage(now, m)
	isFetching := needsFetch && !d.isFetching
	d.isFetching = d.isFetching || isFetching
	version, revision := d.versionsToFetchAfter(m.View)
	isLocal := m.From.Domain == d.members.Self().Domain
	var reply *siblings.Message
	if m.Kind == siblings.Hello {
		reply = &siblings.Message{Kind: siblings.Heartbeat, View: d.viewSummary(now), Contacts: d.members.SampleContacts(now, m.From.Domain)}
	}
	d.mu.Unlock()
	d.logChanges(now, m.From.Address.String(), applied)
	d.logPassedOver(now, m.From.Address.String())
	if isFetching {
		go d.updateFromSibling(ctx, m.From.Address, version, revision)
	}
	if len(known) > 0 {
		d.send(siblings.Message{Kind: siblings.Suspect, Probes: known}, []netip.AddrPort{m.From.Address})
	}
	if len(m.Suspicions)+len(m.Probes) > 0 {
		d.startProbes(now)
	}
	if len(m.Probes) > 0 {
		d.logToldProbes(now, m)
		d.tellConfirmed(now, confirmed)
		d.resetFlowsOfLostTargets(now)
	}
	if reply != nil {
		d.send(*reply, []netip.AddrPort{m.From.Address})
	}
	if !isNewer {
		return
	}
	d.wakeReader()
	if isLocal {
		d.announce(now, false, maxForwardRecipients)
	} else {
		d.announce(now, false, maxLocalRecipients)
	}
}

// updateMembers records which VMs are alive or shut down. The caller holds the lock.
func (d *Daemon) updateMembers(now clock.Millis, m *siblings.Message) {
	if m.Kind == siblings.Leave {
		d.members.Remove(m.From.Address)
		d.engine.ForgetLoadOf(m.From.Address)
		return
	}
	if d.members.MarkAlive(now, m.From) {
		d.log.Info("sibling_seen", "at_ms", now, "sibling", m.From.Address, "domain", m.From.Domain)
	}
	for _, c := range m.Contacts {
		d.members.MarkAlive(now, c)
	}
}

// mergeMessage merges the view of a message into the catalog. It returns the changes that were
// new, whether the view became newer by enough to be forwarded, and whether the sibling has
// changes that the message lacks, which must be fetched. The caller holds the lock.
func (d *Daemon) mergeMessage(now clock.Millis, m *siblings.Message) (applied []catalog.Change, isNewer, needsFetch bool) {
	v := m.View
	if v == nil {
		return nil, false, false
	}
	if !d.catalog.IsComplete() {
		return nil, false, true
	}
	confirmedAt := now - v.AgeMS - transitTime
	ageGain := confirmedAt - (now - d.catalog.Age(now))
	if ageGain <= 0 || v.Revision < d.catalog.Revision() {
		return nil, false, v.Version > d.catalog.Tables().Version
	}
	changes := &catalog.Changes{Delta: m.Tables, Targets: m.Targets, Drains: m.Drains, Revision: d.catalog.Revision(), FromSibling: true} // may not be complete
	applied = d.mergeChanges(now, now-d.catalog.Age(now), changes, false, m.From.Address.String())
	if v.Version > d.catalog.Tables().Version || v.Digest != d.catalog.DigestAt(v.Revision) {
		return applied, false, true
	}
	d.catalog.Confirm(confirmedAt, v.Revision)
	d.noteEra(now, m.From.Address.String())
	return applied, ageGain >= minForwardGain, false
}

// wakeReader makes the reader of the store recompute when the next read is due.
func (d *Daemon) wakeReader() {
	select {
	case d.readerWakeUp <- struct{}{}:
	default:
	}
}
