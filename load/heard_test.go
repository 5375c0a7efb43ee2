package load_test

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

func vm(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7720)
}

func TestWeightOfAReportFallsWithAge(t *testing.T) {
	tests := []struct {
		name     string
		age      clock.Millis
		expected float64
		vms      int
	}{
		{"fresh", 0, 1, 1},
		{"two rounds of exchange later", clock.Second, 1, 1},
		{"half of the way", 1750, 0.5, 1},
		{"too old", 2500, 0, 0},
		{"long ago", clock.Minute, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h load.Heard
			h.Add(1000, vm(1), load.Report{})
			is.Equal(h.Weight(1000+tt.age), tt.expected)
			is.Equal(h.VMs(1000+tt.age), tt.vms)
		})
	}
}

func TestReportsOfManyVMsAreLimited(t *testing.T) {
	is := is.New(t)
	var h load.Heard
	for i := range 1000 {
		h.Add(clock.Millis(i), vm(i), load.Report{})
		h.Add(clock.Millis(i), vm(i), load.Report{}) // replaces the first one
	}
	is.Equal(h.VMs(1000), 32)
	is.Equal(h.Age(1000), clock.Millis(16)) // the oldest ones were replaced
	h.Forget()
	is.Equal(h.VMs(1000), 0)
}

func TestNewsOfOtherDomains(t *testing.T) {
	is := is.New(t)
	news := load.NewNews()
	sum := func(busy float64, age clock.Millis) *load.PoolNews {
		return &load.PoolNews{Pool: 1, Source: 2, Work: load.Work{Busy: busy}, Age: age}
	}
	news.Add(10000, sum(4, 500))
	news.Add(10100, sum(9, 5000)) // older than what is known
	is.Equal(news.All(10100), []load.PoolNews{*sum(4, 600)})
	news.Add(10200, sum(6, 100))
	is.Equal(news.All(10200), []load.PoolNews{*sum(6, 100)})
	is.Equal(news.All(12000)[0].Counted().Busy, 6.0)
	is.True(math.Abs(news.All(16100)[0].Counted().Busy-3) < 0.01) // half of the way
	news.Prune(18100)
	is.Equal(len(news.All(18100)), 0)
	news.Add(20000, sum(6, 9000)) // too old
	is.Equal(len(news.All(20000)), 0)
}

func TestNewsAreLimited(t *testing.T) {
	is := is.New(t)
	news := load.NewNews()
	for i := range 10000 {
		news.Add(0, &load.PoolNews{Pool: uint32(i)})
	}
	is.Equal(len(news.All(0)), 512)
}

func TestNewerNewsTakesThePlaceOfTheOldest(t *testing.T) {
	is := is.New(t)
	news := load.NewNews()
	for i := range 600 {
		news.Add(1000, &load.PoolNews{Pool: uint32(i), Age: clock.Millis(1000 - i)})
	}
	all := news.All(1000)
	is.Equal(len(all), 512)
	is.Equal(all[0].Pool, uint32(599))
	is.Equal(all[511].Pool, uint32(600-512))
	news.Add(1000, &load.PoolNews{Pool: 7, Age: 2000})
	is.Equal(news.All(1000), all)
}
