//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playFreeze: a machine freezes for 4 s and wakes again. Openings that waited at it reach hosts
// then, although their flows have long been open at other hosts.
func playFreeze(w *world, hasTrouble bool) error {
	done := make(chan struct{})
	defer close(done)
	clients, frozen, _, err := startZone(w, done, 0x5200)
	if err != nil {
		return err
	}
	if hasTrouble {
		frozen.signal(syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	hostOfFlow := map[*clientFlow]string{}
	for i := range 24 {
		f := clients.newFlow(fmt.Sprintf("feed%d", i+1), feedAddress, nil)
		wait.Go(func() {
			if !f.open() {
				return
			}
			host := hostOf(f.request(f.name+"-first", feedWorkMS, 1200*time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if host != "" {
				hostOfFlow[f] = host
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(stoppedAt.Add(4 * time.Second)))
	if hasTrouble {
		frozen.signal(syscall.SIGCONT)
	}
	wait.Wait()
	time.Sleep(contactTime + time.Second)
	w.note("%s has been awake for five seconds and is in touch; %d flows are open", frozen.name, len(hostOfFlow))
	for f, host := range hostOfFlow {
		wait.Go(func() {
			answer := f.request(f.name+"-second", feedWorkMS, 1200*time.Millisecond)
			if strings.HasPrefix(answer, "reset by") {
				w.breaks("FLOW: the open flow %s (%s) of host %s, which lives and has no disruption, was %s that is not its own", f.name, f.key.Client, host, answer)
			}
		})
	}
	wait.Wait()
	return nil
}
