// Package resource defines the amounts of resources that tasks need and endpoints
// provide.
package resource

// Amount is an amount of CPU, memory and accelerators.
type Amount struct {
	// MilliCPU is the CPU in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// GPUs is the number of accelerators.
	GPUs int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of both amounts.
func (a Amount) Add(other Amount) Amount {
	return Amount{
		MilliCPU: a.MilliCPU + other.MilliCPU,
		MemoryMB: a.MemoryMB + other.MemoryMB,
		GPUs:     a.GPUs + other.GPUs,
	}
}

// Sub returns a minus other. Components of the result may be negative.
func (a Amount) Sub(other Amount) Amount {
	return Amount{
		MilliCPU: a.MilliCPU - other.MilliCPU,
		MemoryMB: a.MemoryMB - other.MemoryMB,
		GPUs:     a.GPUs - other.GPUs,
	}
}

// Within reports whether no component of a exceeds that of other.
func (a Amount) Within(other Amount) bool {
	return a.MilliCPU <= other.MilliCPU && a.MemoryMB <= other.MemoryMB && a.GPUs <= other.GPUs
}
