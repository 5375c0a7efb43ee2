package peers_test

import (
	"fmt"

	"github.com/almondflow/almondflow/peers"
)

func ExampleHistories() {
	var sender, receiver peers.Histories
	first := []byte(`{"version":1,"routes":[{"name":"booking","port":443,"pool":"booking-core"}]}`)
	second := []byte(`{"version":2,"routes":[{"name":"booking","port":443,"pool":"booking-next"}]}`)
	sender.Add("tables", 1, first)
	receiver.Add("tables", 1, first)
	sender.Add("tables", 2, second)

	document, _ := sender.Document("tables", 1)
	whole, err := receiver.Whole("tables", &document)
	fmt.Println(document.Version(), document.Base(), len(document.Data()) < len(second)/2, err)
	fmt.Println(string(whole))
	// Output:
	// 2 1 true <nil>
	// {"version":2,"routes":[{"name":"booking","port":443,"pool":"booking-next"}]}
}
