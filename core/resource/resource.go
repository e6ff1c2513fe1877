// Package resource has amounts of what tasks need and endpoints have.
package resource

// Amount is an amount of processor, memory and accelerators.
type Amount struct {
	// MilliCPU is in thousandths of a processor core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// GPUs is a number of accelerators.
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

// Sub returns a less other. Parts of the result may be negative.
func (a Amount) Sub(other Amount) Amount {
	return Amount{
		MilliCPU: a.MilliCPU - other.MilliCPU,
		MemoryMB: a.MemoryMB - other.MemoryMB,
		GPUs:     a.GPUs - other.GPUs,
	}
}

// Within reports whether no part of a is above that of other.
func (a Amount) Within(other Amount) bool {
	return a.MilliCPU <= other.MilliCPU && a.MemoryMB <= other.MemoryMB && a.GPUs <= other.GPUs
}
