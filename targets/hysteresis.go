package targets

// hysteresis derives an up or down state from a series of outcomes, so that a single
// outcome does not change it. The zero value is up.
type hysteresis struct {
	down   bool
	streak uint8
}

// add adds an outcome and reports whether the state changed. fall is the number of
// failures in a row that change it to down, and rise the number of successes in a row that
// change it to up.
func (h *hysteresis) add(ok bool, rise, fall uint8) bool {
	if ok != h.down {
		h.streak = 0
		return false
	}
	h.streak++
	limit := fall
	if h.down {
		limit = rise
	}
	if h.streak < limit {
		return false
	}
	h.down = !h.down
	h.streak = 0
	return true
}
