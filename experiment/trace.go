package experiment

import "fmt"

// trace passes a line on what happens to Size.Trace, if that is set.
func (s *simulation) trace(format string, values ...any) {
	if s.size.Trace != nil {
		s.size.Trace(fmt.Sprintf("%6d ", s.now) + fmt.Sprintf(format, values...))
	}
}
