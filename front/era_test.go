package front

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

// readInEra returns a full read of the store in an era.
func readInEra(era uint64, version int64, ids ...string) *catalog.Changes {
	changes := &catalog.Changes{Tables: &inband.Tables{Version: version, Services: []inband.Service{{Name: "core"}}}, Revision: inband.NewRevision(era, 100)}
	for _, id := range ids {
		changes.Targets = append(changes.Targets, &inband.Target{
			ID: id, Service: "core", Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: inband.NewRevision(era, 90),
		})
	}
	return changes
}

// daemonThatRead returns a daemon that read the store, and its clock.
func daemonThatRead(t *testing.T, changes *catalog.Changes) (*Daemon, *clock.Fake) {
	t.Helper()
	d := newDaemon(t, Options{})
	fake := &clock.Fake{}
	d.clock = fake
	d.mergeChanges(0, 0, changes, true, storeSource)
	return d, fake
}

// messageOf returns the message by which a daemon tells of its view.
func messageOf(d *Daemon) *siblings.Message {
	return &siblings.Message{
		Kind: siblings.Announce, View: d.viewSummary(d.clock.Now()),
		From: siblings.Contact{Address: netip.MustParseAddrPort("10.0.0.9:7720"), Domain: "a"},
	}
}

// servingTargets returns how many targets a daemon takes for serving.
func servingTargets(d *Daemon) int {
	count := 0
	for _, e := range d.catalog.Entries() {
		if e.Target().State == inband.Serving {
			count++
		}
	}
	return count
}

// A VM learns from a sibling that the store came back from an older copy. It fetches all of the sibling's view,
// as a difference would leave out what the store has lost. What siblings of the earlier era tell afterwards
// changes nothing.
func TestNewEraComesFromASibling(t *testing.T) {
	is := is.New(t)
	reader, _ := daemonThatRead(t, readInEra(2, 3, "i-1"))
	behind, fake := daemonThatRead(t, readInEra(1, 5, "i-1", "i-2"))
	late, _ := daemonThatRead(t, readInEra(1, 5, "i-1", "i-2"))
	fake.Advance(500)

	news := messageOf(reader)
	_, _, needsFetch := behind.mergeMessage(500, news)
	is.True(needsFetch)
	version, revision := behind.versionsToFetchAfter(news.View)
	is.Equal(version, int64(0))
	is.Equal(revision, inband.Revision(0))
	behind.mergeFetchedView(500, &viewResponse{Digest: reader.catalog.Digest(), Changes: reader.catalog.ChangesSince(0, 0, 0)}, true, "")
	is.Equal(servingTargets(behind), 1)
	is.Equal(behind.catalog.Revision().Era(), uint64(2))
	is.Equal(behind.catalog.Tables().Version, int64(5)) // tables never go back
	is.True(!behind.hasDiverged)

	_, isNewer, needsFetch := behind.mergeMessage(500, messageOf(late))
	is.True(!isNewer && !needsFetch)
	behind.mergeFetchedView(500, &viewResponse{Changes: late.catalog.ChangesSince(0, 0, 0)}, true, "")
	is.Equal(servingTargets(behind), 1)
}

// Where nothing was lost, a VM takes over the era without fetching anything.
func TestNewEraWithTheSameContent(t *testing.T) {
	is := is.New(t)
	reader, _ := daemonThatRead(t, readInEra(2, 5, "i-1"))
	behind, fake := daemonThatRead(t, readInEra(1, 5, "i-1"))
	fake.Advance(500)
	_, isNewer, needsFetch := behind.mergeMessage(500, messageOf(reader))
	is.True(isNewer && !needsFetch)
	is.Equal(behind.catalog.Revision().Era(), uint64(2))
}

// Without eras, a sibling's view is fetched as a difference, as before.
func TestStoreWithoutErasFetchesTheDifference(t *testing.T) {
	is := is.New(t)
	reader, _ := daemonThatRead(t, readInEra(0, 5, "i-1", "i-2"))
	behind, _ := daemonThatRead(t, readInEra(0, 5, "i-1"))
	version, revision := behind.versionsToFetchAfter(messageOf(reader).View)
	is.Equal(version, int64(5))
	is.Equal(revision, inband.Revision(100))
}

// drainInEra returns a full read of the store in an era, with drains.
func drainInEra(era uint64, marks ...drain.Mark) *catalog.Changes {
	changes := storeContent(inband.NewRevision(era, 100))
	for _, t := range changes.Targets {
		t.Revision = inband.NewRevision(era, 90)
	}
	changes.Drains, changes.HasAllDrains = marks, true
	return changes
}

// A store that came back without a drain has lost it. The domain stays drained for as long as the operator may write
// it again; then the drain ends, and siblings are told.
func TestLostDrainEndsAfterAWhile(t *testing.T) {
	is := is.New(t)
	d, fake := daemonThatRead(t, drainInEra(1, drain.Mark{Domain: "a", Revision: inband.NewRevision(1, 95)}))
	d.mergeChanges(0, 0, drainInEra(2), true, storeSource)
	const limit = 60 // seconds, well after the end
	ended := 0
	for ended < limit && len(d.catalog.Drains()) > 0 {
		is.Equal(d.newFlowDomains(), []string{"b"})
		fake.Advance(clock.Second)
		d.catalog.Confirm(fake.Now(), d.catalog.Revision())
		d.runMaintenance(fake.Now())
		ended++
	}
	is.True(ended > 11 && ended < limit) // longer than a change takes to be in force everywhere
	is.Equal(d.newFlowDomains(), []string{"a", "b"})
	is.Equal(d.announcement(fake.Now()).Drains, []drain.Mark{{Domain: "a", Revision: inband.NewRevision(2, 100), HasEnded: true}})
	trail := d.auditTrail.list()
	is.Equal(trail[len(trail)-1].Source, lostDrainSource)
	var lines bytes.Buffer
	is.NoErr(d.logWriter.flush(&lines))
	is.True(strings.Contains(lines.String(), "msg=store_era at_ms=0 before=1 after=2 source=store drains_kept=1"))
}
