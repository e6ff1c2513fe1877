package archive

import "zinniasill"

// OutputID names an output that was kept. It is never 0.
type OutputID uint64

// Outputs keeps values within a budget of bytes; the oldest are evicted first. Set
// Budget before use. It is not safe for concurrent use.
type Outputs[T any] struct {
	// Budget is the highest sum of the sizes in bytes.
	Budget int
	// first is the id of the oldest value in the list, less 1.
	first OutputID
	list  []output[T]
	bytes int
}

type output[T any] struct {
	value T
	epoch zinniasill.Epoch
	size  int
}

// Add keeps a value and returns how many others were evicted. A value larger than the
// budget is evicted at once.
func (o *Outputs[T]) Add(epoch zinniasill.Epoch, value T, size int) (id OutputID, evicted int) {
	o.list = append(o.list, output[T]{value: value, epoch: epoch, size: size})
	o.bytes += size
	id = o.first + OutputID(len(o.list))
	for o.bytes > o.Budget {
		if o.list[0].size > 0 {
			evicted++
		}
		o.pop()
	}
	return id, evicted
}

func (o *Outputs[T]) pop() {
	o.bytes -= o.list[0].size
	o.list[0] = output[T]{}
	o.list = o.list[1:]
	o.first++
}

// Get returns a value, false when it was evicted.
func (o *Outputs[T]) Get(id OutputID) (value T, ok bool) {
	if id <= o.first || id > o.first+OutputID(len(o.list)) {
		return value, false
	}
	kept := o.list[id-o.first-1]
	return kept.value, kept.size > 0
}

// Bytes returns the sum of the sizes.
func (o *Outputs[T]) Bytes() int { return o.bytes }

// Len returns the number of places for values.
func (o *Outputs[T]) Len() int { return len(o.list) }

// DropBefore drops the values of epochs before oldest.
func (o *Outputs[T]) DropBefore(oldest zinniasill.Epoch) {
	for i := range o.list {
		if kept := &o.list[i]; kept.epoch < oldest {
			o.bytes -= kept.size
			*kept = output[T]{}
		}
	}
	for len(o.list) > 0 && o.list[0].size == 0 {
		o.pop()
	}
}
