// Package archive stores records encoded by epoch and key, in few large allocations
// without pointers. It is meant for records that are retained but rarely used, such as
// those of ended tasks.
//
//	var a archive.Archive
//	a.Put(epoch, key, value)
//	epoch, value, ok := a.Get(key)
//	a.DropBefore(oldest)
//
// As Go values, the record of one task takes several hundred bytes, mostly for maps,
// string headers and unused fields, and the garbage collector scans all of them.
package archive

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniasill"
)

const (
	// minChunkSize and maxChunkSize bound the size of one allocation of records, in
	// bytes. The size of chunks doubles, so that an epoch with few records takes little
	// memory.
	minChunkSize = 1 << 8
	maxChunkSize = 1 << offsetBits
	// offsetBits is the number of bits of a ref that are the offset in the chunk. The
	// others are the index of the chunk.
	offsetBits = 16
	// minSlots is the initial number of slots of an index.
	minSlots = 16
	// compactionThreshold is the size in bytes of replaced and deleted records above
	// which a segment is compacted, if they also take more than half of the segment.
	compactionThreshold = 64 << 10
)

// Values of a slot that are not refs.
const (
	empty   uint32 = 0
	deleted uint32 = 1
	// firstRef is the ref of the first record of a segment.
	firstRef uint32 = 2
)

// Archive holds encoded records by epoch and key. The zero value is an empty archive.
// It is not safe for concurrent use.
type Archive struct {
	// segments are in ascending order of epochs.
	segments []*segment
}

// segment holds the records of one epoch.
type segment struct {
	epoch  zinniasill.Epoch
	chunks [][]byte
	// slots is a hash table of refs with linear probing.
	slots []uint32
	// used counts the slots that are not empty, and live those with a ref.
	used, live int
	// size is the capacity of all chunks, and garbage the size of the replaced and
	// deleted records, both in bytes.
	size, garbage int
}

// Put stores a value under a key in an epoch. It replaces an earlier value.
func (a *Archive) Put(epoch zinniasill.Epoch, key, value []byte) {
	at, found := a.findSegment(epoch)
	if !found {
		a.segments = slices.Insert(a.segments, at, &segment{epoch: epoch})
	}
	s := a.segments[at]
	s.remove(key)
	s.put(key, value)
	if s.garbage > compactionThreshold && s.garbage > s.size/2 {
		s.compact()
	}
}

// Get returns the value of a key and its epoch, the earliest one if there are several.
// The value is valid until the next change of the archive.
func (a *Archive) Get(key []byte) (epoch zinniasill.Epoch, value []byte, ok bool) {
	for _, s := range a.segments {
		if value, ok := s.get(key); ok {
			return s.epoch, value, true
		}
	}
	return 0, nil, false
}

// GetInEpoch returns the value of a key in an epoch. The value is valid until the next
// change of the archive.
func (a *Archive) GetInEpoch(epoch zinniasill.Epoch, key []byte) (value []byte, ok bool) {
	if at, found := a.findSegment(epoch); found {
		return a.segments[at].get(key)
	}
	return nil, false
}

// Delete removes a key from an epoch.
func (a *Archive) Delete(epoch zinniasill.Epoch, key []byte) {
	if at, found := a.findSegment(epoch); found {
		a.segments[at].remove(key)
	}
}

// DropBefore removes all records of the epochs before oldest.
func (a *Archive) DropBefore(oldest zinniasill.Epoch) {
	at, _ := a.findSegment(oldest)
	a.segments = slices.Delete(a.segments, 0, at)
}

// ForEach calls visit for each record, in ascending order of epochs and, in an epoch,
// in the order in which the records were stored.
func (a *Archive) ForEach(visit func(epoch zinniasill.Epoch, key, value []byte)) {
	for _, s := range a.segments {
		s.forEach(func(key, value []byte) { visit(s.epoch, key, value) })
	}
}

// Len returns the number of records.
func (a *Archive) Len() int {
	count := 0
	for _, s := range a.segments {
		count += s.live
	}
	return count
}

// Bytes returns the memory used by the records and their index, in bytes.
func (a *Archive) Bytes() int {
	bytes := 0
	for _, s := range a.segments {
		bytes += s.size + 4*len(s.slots)
	}
	return bytes
}

// findSegment returns the index of an epoch's segment, or the one to insert it at.
func (a *Archive) findSegment(epoch zinniasill.Epoch) (at int, found bool) {
	return slices.BinarySearchFunc(a.segments, epoch, func(s *segment, e zinniasill.Epoch) int {
		return int(int64(s.epoch) - int64(e))
	})
}

// slot returns the index of a key's slot, or of the empty slot that ended the search.
func (s *segment) slot(key []byte) (at int, found bool) {
	mask := len(s.slots) - 1
	at = int(xxhash.Sum64(key)) & mask
	for {
		switch ref := s.slots[at]; ref {
		case empty:
			return at, false
		case deleted:
		default:
			if stored, _, _ := s.read(ref); bytes.Equal(stored, key) {
				return at, true
			}
		}
		at = (at + 1) & mask
	}
}

func (s *segment) get(key []byte) ([]byte, bool) {
	if s.live == 0 {
		return nil, false
	}
	at, found := s.slot(key)
	if !found {
		return nil, false
	}
	_, value, _ := s.read(s.slots[at])
	return value, true
}

func (s *segment) remove(key []byte) {
	if s.live == 0 {
		return
	}
	at, found := s.slot(key)
	if !found {
		return
	}
	_, _, size := s.read(s.slots[at])
	s.garbage += size
	s.slots[at] = deleted
	s.live--
}

// put stores a record. The key must not be in the segment.
func (s *segment) put(key, value []byte) {
	if 4*(s.used+1) > 3*len(s.slots) {
		s.rehash()
	}
	at, _ := s.slot(key)
	s.slots[at] = s.write(key, value)
	s.used++
	s.live++
}

// rehash rebuilds the index without deleted slots, and doubles it if at least half of
// the slots hold refs.
func (s *segment) rehash() {
	old := s.slots
	size := max(minSlots, len(old))
	if 2*s.live >= size {
		size *= 2
	}
	s.slots = make([]uint32, size)
	s.used = s.live
	for _, ref := range old {
		if ref >= firstRef {
			key, _, _ := s.read(ref)
			at, _ := s.slot(key)
			s.slots[at] = ref
		}
	}
}

// write appends a record and returns its ref.
func (s *segment) write(key, value []byte) uint32 {
	record := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen32+len(key)+len(value)), uint64(len(key)))
	record = binary.AppendUvarint(record, uint64(len(value)))
	record = append(append(record, key...), value...)
	last := len(s.chunks) - 1
	if last < 0 || len(s.chunks[last])+len(record) > cap(s.chunks[last]) {
		size := max(len(record), min(maxChunkSize, max(minChunkSize, s.size)))
		s.chunks = append(s.chunks, make([]byte, 0, size))
		s.size += size
		last++
	}
	offset := len(s.chunks[last])
	s.chunks[last] = append(s.chunks[last], record...)
	return uint32(last)<<offsetBits + uint32(offset) + firstRef
}

// read returns the record of a ref and its encoded size.
func (s *segment) read(ref uint32) (key, value []byte, size int) {
	ref -= firstRef
	data := s.chunks[ref>>offsetBits][ref&(maxChunkSize-1):]
	keySize, n := binary.Uvarint(data)
	valueSize, m := binary.Uvarint(data[n:])
	start := n + m
	middle := start + int(keySize)
	end := middle + int(valueSize)
	return data[start:middle:middle], data[middle:end:end], end
}

// forEach calls visit for each record in the order of storing. A replaced or deleted
// record is still in its chunk, but not in the index.
func (s *segment) forEach(visit func(key, value []byte)) {
	for n, chunk := range s.chunks {
		for offset := 0; offset < len(chunk); {
			ref := uint32(n)<<offsetBits + uint32(offset) + firstRef
			key, value, size := s.read(ref)
			if at, found := s.slot(key); found && s.slots[at] == ref {
				visit(key, value)
			}
			offset += size
		}
	}
}

// compact copies the segment without replaced and deleted records.
func (s *segment) compact() {
	compacted := segment{epoch: s.epoch}
	s.forEach(compacted.put)
	*s = compacted
}
