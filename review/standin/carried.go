//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playCarried: a machine freezes just after two of its clients got an answer, and before they have
// acknowledged it. The other machine carries their flows on. Of each it sees an acknowledgement first,
// and half a second later the request that was lost in the frozen machine.
func playCarried(w *world, hasTrouble bool) error {
	done := make(chan struct{})
	defer close(done)
	clients, first, second, err := startZone(w, done, 0x5800)
	if err != nil {
		return err
	}
	idle, err := openServed(clients, "idle", feedAddress, 24, first)
	if err != nil {
		return err
	}
	moving, err := openServed(clients, "moving", feedAddress, 24, second)
	if err != nil {
		return err
	}
	host := ""
	for id := range moving {
		if len(moving[id]) >= 2 && len(idle[id]) >= 2 {
			host = id
		}
	}
	if host == "" {
		return errors.New("no host has two flows of each machine")
	}
	time.Sleep(300 * time.Millisecond)
	second.waitForCheck(120 * time.Millisecond)
	var wait sync.WaitGroup
	for i, f := range moving[host][:2] {
		wait.Go(func() { f.request(fmt.Sprintf("answered-%d", i+1), feedWorkMS, time.Second) })
	}
	wait.Wait()
	if hasTrouble {
		second.signal(syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	for i, f := range moving[host][:2] {
		wait.Go(func() {
			// The clients' next requests, 60 ms apart.
			time.Sleep(time.Until(stoppedAt.Add(450*time.Millisecond + time.Duration(i)*60*time.Millisecond)))
			if f.request(fmt.Sprintf("next-%d", i+1), 100, 1200*time.Millisecond) != "" {
				return
			}
			again := clients.newFlow(f.name+"-again", feedAddress, nil)
			if again.open() {
				again.request(fmt.Sprintf("next-%d-again", i+1), feedWorkMS, 1200*time.Millisecond)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Until(stoppedAt.Add(4 * time.Second)))
	if hasTrouble {
		second.signal(syscall.SIGCONT)
	}
	time.Sleep(500 * time.Millisecond)
	checkResets(w, host, idle[host])
	return nil
}
