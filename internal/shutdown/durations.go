package shutdown

import "time"

const (
	// gain and deviationGain are the weights of a new sample in Durations' means.
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations an estimate lies above the mean.
	deviations = 2
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
	if tokens <= 0 || took <= 0 {
		return
	}
	perToken := took.Seconds() / tokens
	d.samples++
	if d.samples == 1 {
		d.mean, d.deviation = perToken, perToken/2
		return
	}
	difference := perToken - d.mean
	d.mean += gain * difference
	d.deviation += deviationGain * (max(difference, -difference) - d.deviation)
}

// Estimate returns how long a stream with an expected number of tokens lasts, 0 if unknown.
func (d *Durations) Estimate(tokens float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration((d.mean + deviations*d.deviation) * tokens * float64(time.Second))
}
