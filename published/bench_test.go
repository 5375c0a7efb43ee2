package published_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/almondflow/almondflow/published"
)

// largeTables returns tables with three hosts for each address. Addresses and names are
// random instead of consecutive.
func largeTables(addresses int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var routes, pools []string
	for i, number := range random.Perm(1 << 18)[:addresses] {
		routes = append(routes, fmt.Sprintf(`{"name":"service-%x","destination":"100.%d.%d.%d","port":443,"protocol":"udp","pool":"pool-%x"}`,
			number, 64+number>>16, number>>8&255, number&255, number))
		var hosts []string
		for j := range 3 {
			host := random.IntN(1<<22)<<2 | j
			hosts = append(hosts, fmt.Sprintf(`{"name":"host-%x","address":"10.%d.%d.%d","port":%d,"domain":"domain-%d","slots":2,"connections":2000}`,
				host, host>>16, host>>8&255, host&255, 8000+i, random.IntN(7)))
		}
		pools = append(pools, fmt.Sprintf(`{"name":"pool-%x","hosts":[%s]}`, number, strings.Join(hosts, ",")))
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[%s],"pools":[%s]}`, strings.Join(routes, ","), strings.Join(pools, ","))
}

// BenchmarkDocument measures the document that a daemon without tables gets from a peer.
func BenchmarkDocument(b *testing.B) {
	for _, addresses := range []int{100, 1_000, 10_000, 33_000} {
		b.Run(fmt.Sprintf("addresses=%d/hosts=%d", addresses, 3*addresses), func(b *testing.B) {
			store := published.NewStore()
			if _, err := store.Offer(0, "platform", published.Tables, 1, largeTables(addresses)); err != nil {
				b.Fatal(err)
			}
			var document []byte
			for b.Loop() {
				_, document, _ = store.Document(0, published.Tables)
			}
			b.ReportMetric(float64(len(document))/float64(3*addresses), "packed_B/host")
			b.ReportMetric(float64(len(document))/24_000, "s_at_24_KB/s")
		})
	}
}
