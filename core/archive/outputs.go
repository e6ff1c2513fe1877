package archive

import "zinniasill"

// OutputID identifies an output that was added. It is never 0.
type OutputID uint64

// Outputs retains values within a budget of bytes and evicts the oldest first. Set
// Budget before use. It is not safe for concurrent use.
type Outputs[T any] struct {
	// Budget is the maximum sum of the sizes of the values, in bytes.
	Budget int
	// removed counts the values removed from the front of list.
	removed OutputID
	list    []output[T]
	bytes   int
}

// output is a value with its epoch and size. The size is 0 after its epoch was dropped.
type output[T any] struct {
	value T
	epoch zinniasill.Epoch
	size  int
}

// Add adds a value of a size in bytes. It returns the number of values that were
// evicted. A value larger than the budget is evicted at once.
func (o *Outputs[T]) Add(epoch zinniasill.Epoch, value T, size int) (id OutputID, evicted int) {
	o.list = append(o.list, output[T]{value: value, epoch: epoch, size: size})
	o.bytes += size
	id = o.removed + OutputID(len(o.list))
	for o.bytes > o.Budget {
		if o.list[0].size > 0 {
			evicted++
		}
		o.pop()
	}
	return id, evicted
}

// pop removes the oldest value.
func (o *Outputs[T]) pop() {
	o.bytes -= o.list[0].size
	o.list[0] = output[T]{}
	o.list = o.list[1:]
	o.removed++
}

// Get returns a value, or false if it was evicted or dropped.
func (o *Outputs[T]) Get(id OutputID) (value T, ok bool) {
	if id <= o.removed || id > o.removed+OutputID(len(o.list)) {
		return value, false
	}
	item := o.list[id-o.removed-1]
	return item.value, item.size > 0
}

// Bytes returns the sum of the sizes of the values, in bytes.
func (o *Outputs[T]) Bytes() int { return o.bytes }

// Len returns the number of values that take memory, including dropped ones that are
// not removed yet.
func (o *Outputs[T]) Len() int { return len(o.list) }

// DropBefore drops the values of epochs before oldest.
func (o *Outputs[T]) DropBefore(oldest zinniasill.Epoch) {
	for i := range o.list {
		if item := &o.list[i]; item.epoch < oldest {
			o.bytes -= item.size
			*item = output[T]{}
		}
	}
	for len(o.list) > 0 && o.list[0].size == 0 {
		o.pop()
	}
}
