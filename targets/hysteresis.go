package targets

// hysteresis turns a stream of good and bad outcomes into a state that does not change
// on a single one. The zero value is up.
type hysteresis struct {
	down   bool
	streak uint8
}

// add takes an outcome and reports whether the state changed. fall is the number of bad
// outcomes in a row that take it down, rise the number of good ones that bring it up.
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
