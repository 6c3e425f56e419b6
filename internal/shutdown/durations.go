package shutdown

import "time"

const (
	// gain and deviationGain are the weights of a new sample in Durations' means.
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations an estimate lies above the mean.
	deviations = 2
	// minTokens is the least number of tokens that a stream counts with: a short one lasts as long
	// as its prompt takes.
	minTokens = 32
	// maxSampleRatio bounds a sample, as a multiple of the mean.
	maxSampleRatio = 3
	// maxEstimate bounds an estimate; no stream is waited for longer.
	maxEstimate = time.Hour
)

// Durations estimates how long a stream will last from those that have ended, as TCP estimates its
// retransmission timeout. The zero value knows nothing.
type Durations struct {
	// mean and deviation are in seconds for each token of the expected answer.
	mean, deviation float64
	samples         int
}

// Record adds a complete stream that was expected to have a number of tokens.
func (d *Durations) Record(took time.Duration, tokens float64) {
	if !(tokens > 0) || took <= 0 { // also NaN
		return
	}
	perToken := took.Seconds() / max(tokens, minTokens)
	d.samples++
	if d.samples == 1 {
		d.mean, d.deviation = perToken, perToken/2
		return
	}
	perToken = min(perToken, maxSampleRatio*d.mean)
	difference := perToken - d.mean
	d.mean += gain * difference
	d.deviation += deviationGain * (max(difference, -difference) - d.deviation)
}

// Estimate returns how long a stream with an expected number of tokens lasts, 0 if unknown.
func (d *Durations) Estimate(tokens float64) time.Duration {
	if !(tokens > 0) { // also NaN
		return 0
	}
	seconds := (d.mean + deviations*d.deviation) * max(tokens, minTokens)
	return time.Duration(min(seconds, maxEstimate.Seconds()) * float64(time.Second))
}
