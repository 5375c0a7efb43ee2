package table_test

import (
	"fmt"
	"strings"
)

// size is the size of generated tables: the number of destinations, each with one route
// and pool, and the total number of hosts.
type size struct {
	addresses int
	hosts     int
}

var sizes = []size{{1_000, 3_000}, {1_000, 12_000}, {10_000, 30_000}, {35_000, 99_000}}

func (s size) String() string { return fmt.Sprintf("addresses=%d/hosts=%d", s.addresses, s.hosts) }

func routeJSON(i int) string {
	return fmt.Sprintf(`{"name":"service-%d","destination":"100.%d.%d.%d","port":443,"protocol":"udp","pool":"pool-%d"}`,
		i, 64+i>>16, i>>8&255, i&255, i)
}

func hostJSON(i, j, generation int) string {
	return fmt.Sprintf(`{"name":"host-%d-%d","address":"10.%d.%d.%d","port":%d,"domain":"domain-%d","generation":%d,"slots":2,"connections":2000}`,
		i, j, i>>16, i>>8&255, i&255, 8000+j, j%7, generation)
}

// poolJSON returns pool i. Its first host has the given generation.
func (s size) poolJSON(i, generation int) string {
	var hosts []string
	for j := range s.hosts*(i+1)/s.addresses - s.hosts*i/s.addresses {
		hosts = append(hosts, hostJSON(i, j, max(1, generation*(1-j))))
	}
	return fmt.Sprintf(`{"name":"pool-%d","hosts":[%s]}`, i, strings.Join(hosts, ","))
}

// document returns tables in which the first host of the pool changed has the version as
// its generation.
func (s size) document(version, changed int) []byte {
	routes := make([]string, s.addresses)
	pools := make([]string, s.addresses)
	for i := range s.addresses {
		generation := 1
		if i == changed {
			generation = version
		}
		routes[i], pools[i] = routeJSON(i), s.poolJSON(i, generation)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"pools":[%s]}`,
		version, strings.Join(routes, ","), strings.Join(pools, ","))
}
