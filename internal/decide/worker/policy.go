package worker

import "github.com/citronbay/citronbay/internal/api/upstream"

// Policy scores machines for a task. Among machines of equal rank in Demand.Avoid and
// Demand.Spread, the one with the highest score is chosen; among equal scores, the one
// added to the fleet first.
type Policy interface {
	// Score returns the score of a machine for a task of the size, which fits in free.
	Score(size, free, capacity upstream.Resources) float64
}

// BestFit prefers the machine with the least remaining resources, as fractions of
// its capacity, so that other machines keep room for large tasks.
type BestFit struct{}

// Score returns the negative sum of the remaining fractions of processors, memory
// and accelerators.
func (BestFit) Score(size, free, capacity upstream.Resources) float64 {
	remaining := free.Minus(size)
	return -(fraction(remaining.MilliProcessors, capacity.MilliProcessors) +
		fraction(remaining.MemoryBytes, capacity.MemoryBytes) +
		fraction(remaining.Accelerators, capacity.Accelerators))
}

// LeastLoaded prefers the machine with the largest free fraction of its slots, so
// that quick requests do not wait behind others.
type LeastLoaded struct{}

// Score returns the free fraction of the slots.
func (LeastLoaded) Score(_, free, capacity upstream.Resources) float64 {
	return fraction(free.Slots, capacity.Slots)
}

// FirstFit prefers the machine that was added to the fleet first.
type FirstFit struct{}

// Score returns zero for every machine.
func (FirstFit) Score(_, _, _ upstream.Resources) float64 {
	return 0
}

// DotProduct prefers the machine whose free resources align best with the task's
// size, both taken as vectors.
type DotProduct struct{}

// Score returns the dot product of the task's size and the free resources, each as
// fractions of the capacity.
func (DotProduct) Score(size, free, capacity upstream.Resources) float64 {
	return fraction(size.MilliProcessors, capacity.MilliProcessors)*fraction(free.MilliProcessors, capacity.MilliProcessors) +
		fraction(size.MemoryBytes, capacity.MemoryBytes)*fraction(free.MemoryBytes, capacity.MemoryBytes) +
		fraction(size.Accelerators, capacity.Accelerators)*fraction(free.Accelerators, capacity.Accelerators)
}

func fraction(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
