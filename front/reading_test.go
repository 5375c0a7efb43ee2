package front

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/siblings"
)

// Guards against a reader that sleeps until a time that it computed with an old rank (review/5): a VM
// of a high rank that loses its siblings, or whose time of discovery ends, is due at once.
func TestReaderWakesWhenItsRankFalls(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	self := siblings.Contact{Address: netip.MustParseAddrPort("10.0.0.1:7720"), Domain: "a"}
	d := &Daemon{
		catalog: catalog.New(), readScheduler: catalog.NewReadScheduler(random), members: siblings.NewMembers(self, random),
		discovery: siblings.NewDiscovery(self.Address.Addr(), nil, random), readerWakeUp: make(chan struct{}, 1),
	}
	d.readScheduler.RecordSuccess()
	for i := range 60 {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:7720", i+1))
		d.members.MarkAlive(6*clock.Second, siblings.Contact{Address: address, Domain: "a", Capacity: 1})
	}
	d.updateRank(6 * clock.Second)
	is.Equal(d.readScheduler.Rank(), 60)
	is.Equal(len(d.readerWakeUp), 0) // it has to wait longer
	d.updateRank(7 * clock.Second)
	is.Equal(len(d.readerWakeUp), 0) // nothing changed
	d.updateRank(10 * clock.Second)
	is.Equal(d.readScheduler.Rank(), 0)
	is.Equal(len(d.readerWakeUp), 1)
}
