// Package ratetest counts events in sliding windows, for tests of limits on rates.
package ratetest

import "github.com/almondflow/almondflow/clock"

// Event is what a limit counts: something that is sent and arrives later.
type Event struct {
	SentAt    clock.Millis
	ArrivedAt clock.Millis
}

// MostInOneSecond returns the most of some times that are in any one second.
func MostInOneSecond(times []clock.Millis) int {
	events := make([]Event, len(times))
	for i, at := range times {
		events[i] = Event{SentAt: at, ArrivedAt: at}
	}
	return MostSentAndArrivedInOneSecond(events)
}

// MostSentAndArrivedInOneSecond returns the most events that are sent and arrive in any one second.
func MostSentAndArrivedInOneSecond(events []Event) int {
	most := 0
	for _, first := range events {
		count := 0
		for _, e := range events {
			if e.SentAt >= first.SentAt && e.ArrivedAt < first.SentAt+clock.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
