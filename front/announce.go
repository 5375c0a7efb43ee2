package front

import (
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

// Recipients of messages. Traffic between failure domains is billed, so only a few VMs of another
// domain get a message and forward it within their domain.
const (
	heartbeatTicks            = 4 // ticks per heartbeat
	viewRequestTicks          = 2 // ticks per request for a first view
	localHeartbeats           = 2 // VMs of this VM's domain that get a heartbeat, beside one of another domain
	maxLocalRecipients        = 12
	remoteRecipientsPerDomain = 2
	maxForwardRecipients      = 4
	// minForwardGain is how much newer a received view must be to be forwarded.
	minForwardGain = 300 * clock.Millisecond
)

// contactSeeds asks the seeds for their members and view.
func (d *Daemon) contactSeeds() {
	d.send(siblings.Message{Kind: siblings.Hello}, d.seedAddresses())
}

// seedAddresses returns the addresses at which the seeds receive messages. The settings name
// their operator addresses; the port for messages is the same on all VMs.
func (d *Daemon) seedAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	self := localAddress(d.sockets.messages)
	for _, seed := range d.settings.Load().Seeds {
		address := netip.AddrPortFrom(seed.Addr(), self.Port())
		if address != self {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// addressesOf returns the addresses of contacts.
func addressesOf(contacts []siblings.Contact) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(contacts))
	for _, c := range contacts {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// requestInitialView asks some VMs and the seeds for a view until this VM has one.
func (d *Daemon) requestInitialView(now clock.Millis) {
	d.mu.Lock()
	needsView := !d.catalog.IsComplete() && !d.isFetching
	recipients := addressesOf(d.members.SampleLocal(now, localHeartbeats))
	d.mu.Unlock()
	if needsView {
		d.send(siblings.Message{Kind: siblings.Hello}, append(recipients, d.seedAddresses()...))
	}
}

// sendHeartbeat reports to some VMs that this one is alive. A VM that knows no other VM contacts
// the seeds again. One that knows others contacts an unknown seed now and then, which may have
// started without knowing anyone, or belong to VMs that know only each other.
func (d *Daemon) sendHeartbeat(now clock.Millis) {
	d.mu.Lock()
	expired := d.members.RemoveExpired(now)
	recipients := addressesOf(d.members.SampleLocal(now, localHeartbeats))
	recipients = append(recipients, addressesOf(d.members.SampleOneRemote(now))...)
	isAlone := d.members.CountAlive(now) == 0
	unknownSeeds := d.members.SampleUnknown(d.seedAddresses())
	message := siblings.Message{Kind: siblings.Heartbeat, View: d.viewSummary(now)}
	d.mu.Unlock()
	for _, c := range expired {
		d.log.Info("sibling_lost", "at_ms", now, "sibling", c.Address, "domain", c.Domain)
	}
	if isAlone {
		recipients = append(recipients, d.seedAddresses()...)
		message.Kind = siblings.Hello
	}
	d.send(message, recipients)
	if !isAlone && len(unknownSeeds) > 0 {
		message.Kind = siblings.Hello
		d.send(message, unknownSeeds)
	}
}

// announce sends the view and recent changes to some VMs of this VM's domain. If the view was
// read from the store, some VMs of each other domain get it, too.
func (d *Daemon) announce(now clock.Millis, isFromStore bool, maxRecipients int) {
	d.mu.Lock()
	message := d.announcement(now)
	recipients := addressesOf(d.members.SampleLocal(now, maxRecipients))
	if isFromStore {
		recipients = append(recipients, addressesOf(d.members.SampleRemote(now, remoteRecipientsPerDomain))...)
	}
	d.mu.Unlock()
	if message.View != nil {
		d.send(message, recipients)
	}
}

// announcement returns what this VM tells of its view and of recent changes, without a view before it is complete.
// The caller holds the lock.
func (d *Daemon) announcement(now clock.Millis) siblings.Message {
	message := siblings.Message{Kind: siblings.Announce, View: d.viewSummary(now), Tables: d.recentTablesDelta(now), Drains: d.recentDrains.marks(now)}
	if now < d.recentUntil {
		message.Targets = slices.Clone(d.recentTargets)
	}
	return message
}

// recentTablesDelta returns the latest change of the tables, or nil if it is not recent. The
// caller holds the lock.
func (d *Daemon) recentTablesDelta(now clock.Millis) *inband.TablesDelta {
	if !d.catalog.IsComplete() {
		return nil
	}
	version := d.catalog.Tables().Version
	if version != d.newestVersion {
		d.previousVersion, d.newestVersion, d.newestVersionAt = d.newestVersion, version, now
	}
	if now-d.newestVersionAt > recentTargetTime {
		return nil
	}
	return d.catalog.TablesDeltaSince(d.previousVersion)
}
