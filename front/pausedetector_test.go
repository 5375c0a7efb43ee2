package front

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

// machine has a monotonic clock, which stops while the machine is paused, and a clock since boot,
// which does not.
type machine struct {
	monotonic *clock.Fake
	sinceBoot clock.Millis
}

func (m *machine) run(d clock.Millis)   { m.monotonic.Advance(d); m.sinceBoot += d }
func (m *machine) pause(d clock.Millis) { m.sinceBoot += d }

// slowStore answers after the machine ran for 10 ms and was then paused for some time.
type slowStore struct {
	machine *machine
	paused  clock.Millis
	calls   int
}

func (s *slowStore) Page(context.Context, string) (*catalog.Changes, string, error) {
	return &catalog.Changes{Tables: &inband.Tables{Version: 1}, Revision: 5}, "", nil
}

func (s *slowStore) Changes(context.Context, inband.Revision, time.Duration) (*catalog.Changes, error) {
	s.calls++
	s.machine.run(10)
	s.machine.pause(s.paused)
	return &catalog.Changes{Revision: 5}, nil
}

// newPausableDaemon returns a daemon whose view is one second old.
func newPausableDaemon(t *testing.T) (*Daemon, *machine, *slowStore) {
	t.Helper()
	is := is.New(t)
	m := &machine{monotonic: &clock.Fake{}, sinceBoot: 1000}
	store := &slowStore{machine: m}
	d := newDaemon(t, Options{Store: store})
	d.clock = m.monotonic
	d.pauseDetector.detector = clock.NewPauseDetectorWithClocks(m.monotonic, func() (clock.Millis, error) { return m.sinceBoot, nil })
	d.readOnce(context.Background(), true, 0)
	d.readOnce(context.Background(), true, 0)
	is.True(d.catalog.IsComplete())
	m.run(clock.Second)
	return d, m, store
}

// The monotonic clock does not count a pause, so a response that was in transit during a pause
// appears younger than it is. It is discarded and requested again.
func TestResponseAcrossPauseIsDiscarded(t *testing.T) {
	is := is.New(t)
	d, m, store := newPausableDaemon(t)
	store.paused = 4 * clock.Second
	d.readOnce(context.Background(), false, 5)
	is.Equal(d.catalog.Age(m.monotonic.Now()), 1010*clock.Millisecond)
	is.True(d.readScheduler.NextRead(0) <= m.monotonic.Now()) // the next read is due at once
	store.paused = 0
	d.readOnce(context.Background(), false, 5)
	is.Equal(store.calls, 2)
	is.Equal(d.catalog.Age(m.monotonic.Now()), 10*clock.Millisecond)
	is.True(d.readScheduler.NextRead(m.monotonic.Now()) > m.monotonic.Now())
}

// After a pause, a VM reads messages that waited meanwhile. Their ages do not include the pause,
// so they are ignored.
func TestMessagesFromPauseAreIgnored(t *testing.T) {
	is := is.New(t)
	d, m, _ := newPausableDaemon(t)
	is.True(!d.ignoresMessages(m.monotonic.Now()))
	m.pause(400)
	d.checkForPause(m.monotonic.Now())
	is.True(!d.ignoresMessages(m.monotonic.Now())) // too short to matter
	m.pause(4 * clock.Second)
	is.Equal(d.checkForPause(m.monotonic.Now()), 1)
	is.True(d.ignoresMessages(m.monotonic.Now()))
	m.run(backlogReadTime)
	is.True(!d.ignoresMessages(m.monotonic.Now()))
}

// Guards against a process that was stopped while the clocks ran on, as a frozen VM: it must ignore the
// messages that waited meanwhile, read the store again and reset no flows, from the first packet on.
func TestStalledProcessNoticesItsPause(t *testing.T) {
	is := is.New(t)
	d, m, _ := newPausableDaemon(t)
	d.checkForPause(m.monotonic.Now())
	m.run(1400 * clock.Millisecond)
	is.Equal(d.checkForPause(m.monotonic.Now()), 0) // late ticks of a slow machine
	m.run(4 * clock.Second)
	packet := &inband.Packet{Flags: inband.Acknowledging}
	d.handlePacket(packet, make([]byte, 100), make([]byte, 100))
	is.Equal(d.checkForPause(m.monotonic.Now()), 1)
	is.True(d.ignoresMessages(m.monotonic.Now()))
	is.True(d.readScheduler.NextRead(0) <= m.monotonic.Now())
}

// A view that VMs forward to each other must not appear younger with every transfer.
func TestForwardedViewAgesInTransit(t *testing.T) {
	is := is.New(t)
	d, m, _ := newPausableDaemon(t)
	now := m.monotonic.Now()
	view := d.viewSummary(now)
	view.AgeMS = 100
	_, _, needsFetch := d.mergeMessage(now, &siblings.Message{View: view})
	is.True(!needsFetch)
	is.Equal(d.catalog.Age(now), 100+transitTime)
}
