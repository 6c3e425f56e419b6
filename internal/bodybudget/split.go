package bodybudget

import "math"

const (
	// memoryShare is the share of a VM's memory for bodies.
	memoryShare = 0.15
	bytesPerMB  = 1e6
	// unknownMemoryLimit is used if the VM's memory is unknown, in bytes.
	unknownMemoryLimit = 64 << 20
	// largestFactor is what a body holds at most while it arrives, as a multiple of its size: a
	// buffer is copied into one of twice the size.
	largestFactor = 1.5
)

// Limit returns Config.Limit of a VM with memory in MB, 0 for unknown. A single body of
// largestBody bytes fits always.
func Limit(memoryMB int, largestBody int64) int64 {
	if memoryMB <= 0 {
		return unknownMemoryLimit
	}
	return max(int64(memoryShare*bytesPerMB*float64(memoryMB)), LimitForOne(largestBody))
}

// LimitForOne returns the least Config.Limit at which a single body of a size fits, in bytes.
func LimitForOne(bodyBytes int64) int64 {
	return int64(math.Ceil(largestFactor * float64(bodyBytes) / (1 - DefaultConfig(0).SmallShare)))
}
