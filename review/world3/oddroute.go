//go:build review

package main

import "time"

// misspellAt is when the other writer writes, a moment after the host's own entry.
const misspellAt = 8500 * time.Millisecond

func init() { scenarios["odd-route"] = playOddRoute }

// playOddRoute plays holds. Once, another writer writes an entry under the key of a host of the other service that names
// the service of the holds, in fields none of which is spelled as the platform's are.
func playOddRoute(w *world, hasTrouble bool) ([]string, error) {
	if err := w.startSmallSite(bookingService, holdWork); err != nil {
		return nil, err
	}
	w.await(calmTime)
	go func() {
		w.await(misspellAt)
		if hasTrouble {
			w.writeMisspelled(w.hosts[1], bookingService)
		}
	}()
	w.press(holdTime-calmTime, load{route: holdRoute, deadline: holdDeadline, next: func() request {
		return request{method: "POST", path: holdPath, bodyLen: holdBytes}
	}})
	w.judgeStrays()
	return w.takeBroken(), nil
}
