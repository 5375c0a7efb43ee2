package front

import (
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

const (
	// minSuspectInterval is the minimum time between two messages about suspects.
	minSuspectInterval = 50 * clock.Millisecond
	// maxSuspicionRecipients limits how many VMs of the own failure domain get a suspicion. VMs that
	// do not get it are slow to reset their flows of a dead target, as they see few of them.
	maxSuspicionRecipients = 24
	// evaluationTicks is the number of ticks per evaluation of targets.
	evaluationTicks = 2
	// maxProbedVMs limits how many VMs of a failure domain are probed.
	maxProbedVMs = 3
)

// handleUnresponsive reports unresponsive targets to siblings, probes the VMs of failure domains
// whose targets are unresponsive, and resets flows that wait for lost targets.
func (d *Daemon) handleUnresponsive(now clock.Millis) {
	d.mu.Lock()
	if now-d.suspectsSentAt < minSuspectInterval {
		d.mu.Unlock()
		return
	}
	d.suspectsSentAt = now
	suspicions := d.engine.TakeSuspicions(now)
	recipients := d.suspicionRecipients(now, suspicions)
	probed := d.probeDomains(now)
	cuts := d.engine.TakeCutChanges(now)
	d.mu.Unlock()
	d.logCuts(now, cuts)
	d.startProbes(now)
	d.resetFlowsOfLostTargets(now)
	d.send(siblings.Message{Kind: siblings.Suspect, Suspicions: suspicions}, recipients)
	d.send(siblings.Message{Kind: siblings.Hello}, probed)
}

// logCuts logs which failure domains seem cut off, or no more.
func (d *Daemon) logCuts(now clock.Millis, changes []inband.CutChange) {
	for _, c := range changes {
		d.log.Info("domain_cut", "at_ms", now, "domain", c.Domain, "cut", c.IsCut, "silent_targets", c.Targets, "vms", c.VMs)
	}
}

// suspicionRecipients returns the VMs that are told suspicions: those that probe the targets and, if
// openings timed out, others whose new flows should avoid the targets. The caller holds the lock.
func (d *Daemon) suspicionRecipients(now clock.Millis, suspicions []inband.Suspicion) []netip.AddrPort {
	var recipients []netip.AddrPort
	hasOpening := false
	for _, s := range suspicions {
		hasOpening = hasOpening || s.OpeningTimeouts > 0
		recipients = addMissing(recipients, d.members.ProbersOf(now, s.ID, d.engine.DomainOf(s.ID)))
	}
	if !hasOpening {
		return recipients
	}
	recipients = addMissing(recipients, addressesOf(d.members.SampleLocal(now, maxSuspicionRecipients)))
	return addMissing(recipients, addressesOf(d.members.SampleRemote(now, remoteRecipientsPerDomain)))
}

// addMissing adds the addresses that are not in the list yet.
func addMissing(all, more []netip.AddrPort) []netip.AddrPort {
	for _, address := range more {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// resetFlowsOfLostTargets ends the flows that wait for lost targets, or are idle at dead ones, and resets
// their clients.
func (d *Daemon) resetFlowsOfLostTargets(now clock.Millis) {
	d.mu.Lock()
	ended, lines := d.endFlowsOfLostTargets(now)
	d.mu.Unlock()
	d.sendResets(ended, lines)
}

// evaluateTargets logs which targets started or stopped failing and which pools began or ceased to spill,
// and reports request outcomes to siblings.
func (d *Daemon) evaluateTargets(now clock.Millis) {
	d.mu.Lock()
	changes := d.engine.TakeStatusChanges(now)
	spills := d.engine.TakeSpillChanges()
	message := siblings.Message{Kind: siblings.Suspect, Outcomes: d.engine.TakeOutcomes(now)}
	recipients := addressesOf(d.members.SampleLocal(now, maxLocalRecipients))
	d.mu.Unlock()
	for _, c := range changes {
		d.log.Info("target_judged", "at_ms", now, "target", c.ID, "bad", c.IsFailing, "bad_share", c.FailureRate)
	}
	d.logSpills(now, spills)
	if len(message.Outcomes) > 0 {
		d.send(message, recipients)
	}
}

func (d *Daemon) logSpills(now clock.Millis, changes []inband.Spilling) {
	for _, s := range changes {
		d.log.Info("pool_spills", "at_ms", now, "service", s.Service, "regions", regionNames(s.AllowedRegions),
			"spills", s.IsSpilling, "share", s.Share,
			"response_ms", s.ResponseTime, "service_ms", s.ServiceTime)
	}
}

// probeDomains records probes of failure domains and returns the VMs to probe. The caller holds
// the lock.
func (d *Daemon) probeDomains(now clock.Millis) []netip.AddrPort {
	var probed []netip.AddrPort
	for _, domain := range d.engine.DomainsToProbe(now) {
		vms := d.members.SampleDomain(now, domain, maxProbedVMs)
		if len(vms) == 0 {
			continue
		}
		d.engine.MarkProbed(now, domain, len(vms))
		probed = append(probed, addressesOf(vms)...)
		d.log.Info("domain_probed", "at_ms", now, "domain", domain, "vms", len(vms), "cut", d.engine.IsPartitioned(now, domain))
	}
	return probed
}
