package front

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

// Guards against a VM that hangs on a page of a full read that has news of a drain, as its changes are logged while the
// lock is held.
func TestPageWithADrainIsMergedUnderTheLock(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	d.mu.Lock()
	d.mergePage(1000, &catalog.Changes{Revision: drainBegin, Drains: []drain.Mark{{Domain: "a", Revision: drainBegin}}}, "the key of i-1")
	d.mu.Unlock()
	is.Equal(d.newFlowDomains(), []string{"b"})
}

// An entry that is passed over has one line while it is written again, and a count each time. Lines are bounded by the
// limit of routine ones, and a change of belief has one.
func TestPassedOverEntriesAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	d := newReadDaemon(t)
	for i := range 20 {
		odd := newDomainTarget("i-1", "a")
		odd.Service, odd.Address, odd.Revision = "ledger", netip.MustParseAddrPort("10.0.0.9:90"), drainBegin+inband.Revision(i)
		odd.Slots += i / 10
		d.logChanges(1000, storeSource, d.mergeChanges(1000, 1000, &catalog.Changes{Targets: []*inband.Target{odd}, Revision: odd.Revision}, false, storeSource))
	}
	d.logPassedOver(1000, storeSource)
	invalid := make([]catalog.InvalidEntry, 20)
	d.logIgnored(1000, invalid)
	var lines bytes.Buffer
	is.NoErr(d.logWriter.flush(&lines))
	const line = "msg=entry_passed_over at_ms=1000 target=i-1 revision=11 reason=unnamed_service service=ledger address=10.0.0.9:90 " +
		"domain=a started_at=0 target_now=unusable source=store"
	is.Equal(strings.Count(lines.String(), line), 1)
	is.Equal(strings.Count(lines.String(), "msg=entry_passed_over"), 2) // one for each content
	is.Equal(strings.Count(lines.String(), "msg=entry_ignored"), d.settings.Load().LogLinesPerSecond-2)
	is.Equal(strings.Count(lines.String(), "after=unusable source=store"), 1)
	name := passedOverMetric.Name + "+reason=" + catalog.UnnamedService.String()
	is.Equal(d.metrics.scope.(tally.TestScope).Snapshot().Counters()[name].Value(), int64(20))
}
