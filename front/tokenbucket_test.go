package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

func TestTokenBucket(t *testing.T) {
	steps := []struct {
		at             clock.Millis
		bytes, reserve int
		want           bool
	}{
		{0, 1500, 0, true},
		{0, 600, 0, false}, // 500 are left
		{0, 500, 100, false},
		{0, 400, 100, true},
		{100, 200, 0, true}, // a tenth of a second adds 100
		{100, 1, 0, false},
		{100000, 2000, 0, true}, // tokens accumulate for two seconds
		{100000, 1, 0, false},
		{100001, 1, 0, true},
	}
	is := is.New(t)
	b := newTokenBucket(1000)
	for _, s := range steps {
		is.Equal(b.allow(s.at, s.bytes, s.reserve), s.want)
	}
}

// However many targets are unresponsive, messages between VMs stay within the rate limit, and
// suspicions leave half of the burst to announcements.
func TestMessagesStayWithinRateLimit(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	fake := &clock.Fake{}
	d.clock = fake
	message := siblings.Message{Kind: siblings.Suspect}
	for range 14 {
		message.Suspicions = append(message.Suspicions, inband.Suspicion{ID: "i-0123456789", OpeningTimeouts: 1})
	}
	const seconds = 10
	bytes := 0
	data, err := siblings.Encode(message)
	is.NoErr(err)
	for range seconds * 20 { // every 50 ms, to 18 VMs
		bytes += len(data) * d.allowMessages(len(data), 18, siblings.Suspect)
		fake.Advance(50 * clock.Millisecond)
	}
	is.True(bytes <= (seconds+burstSeconds)*controlBytesPerSecond)
	is.True(bytes > seconds*controlBytesPerSecond/2)
	is.Equal(d.allowMessages(len(data), 8, siblings.Announce), 8)
}

// When many VMs start together, a VM with a slow link sends its view to some of them and leaves
// the others to the store. Without the limit, views saturated a link of 10 Mbit/s and packets
// arrived too late (kinarez-ist-grown quiet-1).
func TestViewsAreRateLimited(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	d.clock = &clock.Fake{}
	const viewBytes = 40000
	sent := 0
	for range 100 {
		if d.allowView(viewBytes) {
			sent++
		}
	}
	const linkBytesPerSecond = 10 * 125000 // from link_mbps of validSettings
	is.True(sent > 0)
	is.True(sent*viewBytes <= linkBytesPerSecond/2)
}
