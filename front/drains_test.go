package front

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

const (
	drainBegin inband.Revision = 11
	drainEnd   inband.Revision = 12
)

// newReadDaemon returns a daemon that has read a store with a target in each of two domains.
func newReadDaemon(t *testing.T) *Daemon {
	t.Helper()
	d := newDaemon(t, Options{})
	d.mergeRead(10, storeContent(10))
	return d
}

// storeContent returns a full read of a store with a target in each of two domains.
func storeContent(revision inband.Revision) *catalog.Changes {
	return &catalog.Changes{
		Tables: &inband.Tables{Version: 1, Routes: []inband.Route{{
			Name: "feed", Address: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []inband.Share{{Service: "core", Weight: 1}},
		}}},
		Targets: []*inband.Target{newDomainTarget("i-1", "a"), newDomainTarget("i-2", "b")}, Revision: revision,
	}
}

func newDomainTarget(id, domain string) *inband.Target {
	return &inband.Target{ID: id, Domain: domain, Service: "core", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Revision: 9}
}

// mergeRead merges a complete read of the store.
func (d *Daemon) mergeRead(now clock.Millis, changes *catalog.Changes) {
	var read catalog.FullRead
	full, _ := read.AddLastPage(changes)
	d.logChanges(now, storeSource, d.mergeChanges(now, now, full, true, storeSource))
}

// mergeWatched merges a mark that the store returned to a watch.
func (d *Daemon) mergeWatched(now clock.Millis, m drain.Mark) {
	changes := &catalog.Changes{Revision: m.Revision, Drains: []drain.Mark{m}}
	d.logChanges(now, storeSource, d.mergeChanges(now, now, changes, false, storeSource))
}

// newFlowDomains returns the domains whose targets get new flows, ordered by name.
func (d *Daemon) newFlowDomains() []string {
	var domains []string
	const flows = 4 // more than there are targets, so each that accepts one gets one
	for client := range flows {
		key := inband.Key{
			Client:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(client)}), 40000),
			Destination: netip.MustParseAddrPort("198.18.0.1:80"),
		}
		v := d.engine.Handle(0, &inband.Packet{Key: key, Flags: inband.Opening, Seq: 1})
		if v.Backend != nil {
			domains = append(domains, v.Backend.Target().Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

func TestDrainFromTheStoreIsKeptAndShown(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	d.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	is.Equal(d.newFlowDomains(), []string{"b"})
	is.Equal(d.catalog.Drains(), []drain.Mark{{Domain: "a", Revision: drainBegin}})
	d.mergeWatched(2000, drain.Mark{Domain: "a", Revision: drainEnd, HasEnded: true})
	is.Equal(len(d.catalog.Drains()), 0)
	trail := d.auditTrail.list()
	is.Equal(trail[len(trail)-2:], []AuditRecord{
		{AtMS: 1000, Subject: "domain a", Before: "not drained", After: "drained since revision 11", Source: storeSource},
		{AtMS: 2000, Subject: "domain a", Before: "drained since revision 11", After: "not drained since revision 12", Source: storeSource},
	})
	var lines bytes.Buffer
	is.NoErr(d.logWriter.flush(&lines))
	is.True(strings.Contains(lines.String(), `msg=believes at_ms=1000 subject="domain a" before="not drained" after="drained since revision 11" source=store`))
}

func TestStatusAndMetricsShowDrains(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	d.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	status, metrics := httptest.NewRecorder(), httptest.NewRecorder()
	d.serveStatus(status, nil)
	is.True(strings.Contains(status.Body.String(), `"drains":[{"domain":"a","revision":11}]`))
	d.serveMetrics(metrics, nil)
	is.True(strings.Contains(metrics.Body.String(), "almondflow_front_drained_domains 1\n"))
}

// A VM that can't reach the store learns of a drain and of its end from a sibling's announcement.
func TestAnnouncementBringsDrainAndItsEnd(t *testing.T) {
	is := is.New(t)
	sibling, d := newReadDaemon(t), newReadDaemon(t)
	sibling.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	d.receive(context.Background(), received(t, sibling, 1000))
	is.Equal(d.catalog.Drains(), sibling.catalog.Drains())
	is.Equal(d.newFlowDomains(), []string{"b"})
	sibling.mergeWatched(5000, drain.Mark{Domain: "a", Revision: drainEnd, HasEnded: true})
	d.receive(context.Background(), received(t, sibling, 5000))
	is.Equal(len(d.catalog.Drains()), 0)
	is.Equal(d.catalog.Digest(), sibling.catalog.Digest())
}

// After the store came back from an older copy, announcements still bring what changed.
func TestAnnouncementOfALaterEra(t *testing.T) {
	is := is.New(t)
	sibling, d := newDaemon(t, Options{}), newDaemon(t, Options{})
	for _, reader := range []*Daemon{sibling, d} {
		reader.mergeRead(10, storeContent(inband.NewRevision(1, 5)))
	}
	sibling.mergeWatched(1000, drain.Mark{Domain: "a", Revision: inband.NewRevision(1, 6)})
	d.receive(context.Background(), received(t, sibling, 1000))
	is.Equal(d.catalog.Drains(), sibling.catalog.Drains())
	is.Equal(d.catalog.Revision(), sibling.catalog.Revision())
}

// received returns the announcement of a daemon as another one gets it.
func received(t *testing.T, d *Daemon, now clock.Millis) *siblings.Message {
	t.Helper()
	is := is.New(t)
	message := d.announcement(now)
	message.From = siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.9:7720"), Domain: "b"}
	message.View.AgeMS = -clock.Minute - now // newer than what the receiver has, whose clock is the system's
	data, err := siblings.Encode(message)
	is.NoErr(err)
	decoded, err := siblings.Decode(data)
	is.NoErr(err)
	return decoded
}

// The drain is in the datagram also where more targets changed than it holds.
func TestAnnouncementBesideManyTargets(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	var changes []catalog.Change
	for i := range maxRecentTargets {
		changes = append(changes, catalog.Change{Target: newDomainTarget(fmt.Sprintf("i-a-long-name-of-target-%02d", i), "c")})
	}
	d.keepRecent(1000, changes)
	d.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	message := received(t, d, 1010)
	is.Equal(message.Drains, []drain.Mark{{Domain: "a", Revision: drainBegin}})
	is.True(len(message.Targets) < maxRecentTargets) // they fill the rest
}

// A VM that missed the announcement, or was paused for so long that the end is forgotten, fetches the view.
func TestFetchedViewBringsDrainAndItsEnd(t *testing.T) {
	is := is.New(t)
	sibling, d := newReadDaemon(t), newReadDaemon(t)
	server := httptest.NewServer(http.HandlerFunc(sibling.serveView))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	fetch := func() {
		version, revision := d.currentVersions()
		view, err := fetchView(context.Background(), address, version, revision)
		is.NoErr(err)
		d.mergeFetchedView(d.clock.Now(), view, false, address.String())
	}
	sibling.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	fetch()
	is.Equal(d.newFlowDomains(), []string{"b"})
	sibling.mergeWatched(2000, drain.Mark{Domain: "a", Revision: drainEnd, HasEnded: true})
	sibling.pruneTargets(10 * clock.Minute)
	fetch()
	is.Equal(len(d.catalog.Drains()), 0)
}

// A VM with an empty memory takes the drains from the view that a sibling serves while the store is away.
func TestStartingVMKnowsDrainsOfASibling(t *testing.T) {
	is := is.New(t)
	sibling, d := newReadDaemon(t), newDaemon(t, Options{})
	sibling.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	server := httptest.NewServer(http.HandlerFunc(sibling.serveView))
	defer server.Close()
	view, err := fetchView(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 0, 0)
	is.NoErr(err)
	is.Equal(len(d.newFlowDomains()), 0) // it serves nothing before it has a view
	changes := d.mergeFetchedView(d.clock.Now(), view, true, "sibling")
	is.Equal(d.newFlowDomains(), []string{"b"})
	is.Equal(len(changes), 2) // logs and the audit trail tell of the view and of the drain
	is.Equal(changes[1].After, "drained since revision 11")
}

// A VM that starts with the view of a sibling whose version knows no drains serves at once, and goes on to read
// the drains from the store.
func TestViewWithoutDrainsNeedsAFullRead(t *testing.T) {
	for _, hasAllDrains := range []bool{true, false} {
		is := is.New(t)
		d := newDaemon(t, Options{})
		view := storeContent(10)
		view.HasAllDrains = hasAllDrains
		d.mergeFetchedView(0, &viewResponse{Changes: view}, true, "sibling")
		is.True(d.catalog.IsComplete())
		is.Equal(d.readScheduler.NeedsFullRead(), !hasAllDrains)
	}
}

// A VM that knows a drain before its view does fetches no view for it, and neither do its siblings.
func TestEarlyDrainCausesNoFetch(t *testing.T) {
	is := is.New(t)
	ahead, behind := newReadDaemon(t), newReadDaemon(t)
	mark := drain.Mark{Domain: "a", Revision: drainBegin}
	ahead.mergePage(1000, &catalog.Changes{Revision: drainBegin, Drains: []drain.Mark{mark}}, "x")
	needsFetch := func(d *Daemon, m *siblings.Message) bool {
		_, _, needsFetch := d.mergeMessage(d.clock.Now(), m)
		return needsFetch
	}
	is.True(!needsFetch(ahead, received(t, behind, 1010)))
	is.True(!needsFetch(behind, received(t, ahead, 9000))) // the mark is not recent any more
	behind.mergeWatched(9000, mark)
	is.True(!needsFetch(ahead, received(t, behind, 20000)))
}

// A view that was compressed for another VM just before the drain is not served any more.
func TestCachedViewIsNotServedWithoutADrain(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	before, _, err := d.compressedView(0, 0)
	is.NoErr(err)
	d.mergeWatched(1000, drain.Mark{Domain: "a", Revision: drainBegin})
	after, _, err := d.compressedView(0, 0)
	is.NoErr(err)
	is.True(!bytes.Equal(before, after))
}

// A full read of a large store takes longer than an operator waits, so its first page counts at once.
func TestDrainOfAPageCountsBeforeTheLastPage(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	page := &catalog.Changes{Revision: drainBegin, Drains: []drain.Mark{{Domain: "a", Revision: drainBegin}}}
	d.mergePage(1000, page, "x")
	is.Equal(d.newFlowDomains(), []string{"b"})
}

// While every domain is drained each opening is rejected, and none of their lines may crowd out the others.
func TestRejectedOpeningsAreRoutine(t *testing.T) {
	for _, reason := range []inband.Reason{inband.NoRoute, inband.NoTarget, inband.Overloaded} {
		t.Run(reason.String(), func(t *testing.T) { is.New(t).True(isRoutine(reason)) })
	}
}
