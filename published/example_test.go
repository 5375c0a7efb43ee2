package published_test

import (
	"fmt"

	"github.com/almondflow/almondflow/published"
)

func ExampleStore() {
	store := published.NewStore()
	store.Listen(func(c published.Change) {
		fmt.Println(c.Name(), "from", c.PreviousVersion(), "to", c.Version(), "by", c.Source())
	})
	for _, version := range []uint64{2, 1, 3} {
		document := fmt.Appendf(nil, `{"version": %d, "routes": [], "pools": []}`, version)
		verdict, err := store.Offer(0, "peer", published.Tables, version, document)
		fmt.Println(version, verdict, err)
	}
	// Output:
	// tables from 0 to 2 by peer
	// 2 accepted <nil>
	// 1 stale <nil>
	// tables from 2 to 3 by peer
	// 3 accepted <nil>
}
