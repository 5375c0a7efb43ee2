//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
)

// sameTag returns two numbers of hosts whose ids have the same tag, the lower one first.
func sameTag() (lower, higher uint64) {
	seen := map[inband.Tag]uint64{}
	for number := uint64(0x10000000); ; number++ {
		tag := inband.TagOf(fmt.Sprintf("i-%08x", number))
		if other, ok := seen[tag]; ok {
			return other, number
		}
		seen[tag] = number
	}
}

// playTags: a release starts a new host whose id has the tag of a host with open flows. Then one
// machine is stopped and started, as planned work does, and its flows pass through the other one.
func playTags(w *world, hasTrouble bool) error {
	lower, higher := sameTag()
	if !hasTrouble {
		lower++
	}
	done := make(chan struct{})
	defer close(done)
	holder, err := w.addHost(higher, "despacho", "valle-sur", 1)
	if err != nil {
		return err
	}
	clients, first, _, err := startZone(w, done, 0x5700)
	if err != nil {
		return err
	}
	feeds, err := openServed(clients, "feed", feedAddress, 30, first)
	if err != nil {
		return err
	}
	if len(feeds[holder.id]) < 3 {
		return errors.New("too few feeds at the host")
	}
	if _, err := w.addHost(lower, "evidencia", "valle-sur", 1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	first.terminate()
	var wait sync.WaitGroup
	for _, f := range feeds[holder.id] {
		wait.Go(func() {
			answer := f.request(f.name+"-after", feedWorkMS, 1200*time.Millisecond)
			if strings.HasPrefix(answer, "reset by") {
				w.breaks("FLOW: the open flow %s (%s) of host %s, which lives and has no disruption: %s", f.name, f.key.Client, holder.id, answer)
			}
		})
	}
	wait.Wait()
	return nil
}
