package outcome

import "math"

// Limits for recognizing failed requests by the size of their responses.
const (
	// minSizeSamples is the number of responses on a route that must be known before one is
	// evaluated.
	minSizeSamples = 16
	// sampleWeight is the weight of the newest response in the averages. Short ones get
	// shortSampleWeight, so that failures do not become the norm.
	sampleWeight      = 1.0 / 16
	shortSampleWeight = 1.0 / 256
	// A short response is smaller than the mean by more than shortDeviations mean deviations,
	// and smaller than shortFraction of the mean.
	shortDeviations = 4.0
	shortFraction   = 0.5
)

// Sizes tracks the usual size of the responses on a route. If sizes are alike, a much
// shorter response is an error or a refusal; if they vary, size says nothing.
type Sizes struct {
	mean      float64 // in bytes
	deviation float64 // mean absolute deviation, in bytes
	count     int
}

// Observe records the size of a response and reports whether it is short.
func (s *Sizes) Observe(bytes uint32) bool {
	size := float64(bytes)
	if s.count == 0 {
		s.mean = size
	}
	isShort := s.count >= minSizeSamples && size < shortFraction*s.mean && size < s.mean-shortDeviations*s.deviation
	weight := sampleWeight
	if isShort {
		weight = shortSampleWeight
	}
	s.deviation += weight * (math.Abs(size-s.mean) - s.deviation)
	s.mean += weight * (size - s.mean)
	s.count = min(s.count+1, minSizeSamples)
	return isShort
}
