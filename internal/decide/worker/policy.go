package worker

import "github.com/citronbay/citronbay/internal/api/upstream"

// Policy scores a machine for a task that fits it; the machine with the
// highest score is chosen, and the first of equals.
type Policy interface {
	Score(size, free, capacity upstream.Resources) float64
}

// BestFit prefers the machine on which least is left over, in parts of its
// capacity, so that large tasks still find room elsewhere.
type BestFit struct{}

// Score returns the negative of what is left over, summed over dimensions.
func (BestFit) Score(size, free, capacity upstream.Resources) float64 {
	left := free.Minus(size)
	return -(part(left.MilliProcessors, capacity.MilliProcessors) +
		part(left.MemoryBytes, capacity.MemoryBytes) +
		part(left.Accelerators, capacity.Accelerators))
}

// LeastLoaded prefers the machine with most slots free, so that quick requests
// wait for no one.
type LeastLoaded struct{}

// Score returns the free part of the slots.
func (LeastLoaded) Score(_, free, capacity upstream.Resources) float64 {
	return part(free.Slots, capacity.Slots)
}

// FirstFit takes the first machine that fits.
type FirstFit struct{}

// Score returns zero for every machine.
func (FirstFit) Score(_, _, _ upstream.Resources) float64 {
	return 0
}

// DotProduct prefers the machine whose free amounts point the same way as the
// task's size.
type DotProduct struct{}

// Score returns the dot product of size and free amounts, in parts of the
// capacity.
func (DotProduct) Score(size, free, capacity upstream.Resources) float64 {
	return part(size.MilliProcessors, capacity.MilliProcessors)*part(free.MilliProcessors, capacity.MilliProcessors) +
		part(size.MemoryBytes, capacity.MemoryBytes)*part(free.MemoryBytes, capacity.MemoryBytes) +
		part(size.Accelerators, capacity.Accelerators)*part(free.Accelerators, capacity.Accelerators)
}

func part(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
