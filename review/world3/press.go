//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// loadPerClient is how many requests each client machine has under way.
const loadPerClient = 6

// load is what clients ask for.
type load struct {
	route    netip.AddrPort
	deadline time.Duration
	next     func() request // without its id
}

// press has the clients ask for a time, with a flow for each request.
func (w *world) press(length time.Duration, l load) {
	ends := time.Now().Add(length)
	finished := make(chan struct{})
	for i, c := range w.clients {
		for j := range loadPerClient {
			go func() {
				for n := 0; time.Now().Before(ends); n++ {
					r := l.next()
					r.id = fmt.Sprintf("r%d-%d-%d", i, j, n)
					w.askOnce(c, l, r)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
				finished <- struct{}{}
			}()
		}
	}
	for range len(w.clients) * loadPerClient {
		<-finished
	}
}

// askOnce opens a flow for a request and waits for its end.
func (w *world) askOnce(c *client, l load, r request) {
	deadline := time.Now().Add(l.deadline)
	f := c.newFlow(l.route)
	isOpen, why := f.open()
	if !isOpen {
		w.record.add("request %s of %v: %s", r.id, f.key.Client, why)
		f.end(true)
		return
	}
	result := f.ask(r, deadline)
	w.record.add("request %s of %v: %v", r.id, f.key.Client, result)
	f.end(result.status == 0)
}
