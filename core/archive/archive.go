// Package archive keeps the records of what has ended, encoded, in few large
// allocations without pointers.
//
//	var a archive.Archive
//	a.Put(epoch, key, value)
//	epoch, value, ok := a.Get(key)
//	a.DropBefore(oldest)
//
// As Go values a record of one task takes several hundred bytes, most of them maps,
// string headers and unused fields, and the garbage collector visits each of them.
package archive

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniasill"
)

const (
	// minChunk and maxChunk bound the size of one allocation of records. Chunks
	// double, so that an epoch with few records takes little.
	minChunk = 1 << 8
	maxChunk = 1 << offsetBits
	// offsetBits is the part of a place that is the offset in its chunk.
	offsetBits = 16
	// minSlots is the first size of an index.
	minSlots = 16
	// minGarbage is the size of replaced records from which a segment may be rewritten.
	minGarbage = 64 << 10
)

// Values of a slot that are no place.
const (
	empty   uint32 = 0
	deleted uint32 = 1
	// firstPlace is added to a place in a slot.
	firstPlace uint32 = 2
)

// Archive holds encoded records by epoch and key. The zero value is empty. It is not
// safe for concurrent use.
type Archive struct {
	// segments are in the order of their epochs.
	segments []*segment
}

// segment holds the records of one epoch.
type segment struct {
	epoch  zinniasill.Epoch
	chunks [][]byte
	// slots is a hash table with linear probing of the places of records.
	slots []uint32
	// used counts the slots that are not empty, live those with a record.
	used, live int
	// size is the capacity of all chunks, and garbage the part of replaced records.
	size, garbage int
}

// Put stores a value under a key of an epoch. It replaces an earlier one.
func (a *Archive) Put(epoch zinniasill.Epoch, key, value []byte) {
	at, found := a.find(epoch)
	if !found {
		a.segments = slices.Insert(a.segments, at, &segment{epoch: epoch})
	}
	s := a.segments[at]
	s.remove(key)
	s.put(key, value)
	if s.garbage > minGarbage && s.garbage > s.size/2 {
		s.rewrite()
	}
}

// Get returns the value of a key in the earliest epoch that has one. The value is
// valid until the next change.
func (a *Archive) Get(key []byte) (epoch zinniasill.Epoch, value []byte, ok bool) {
	for _, s := range a.segments {
		if value, ok := s.get(key); ok {
			return s.epoch, value, true
		}
	}
	return 0, nil, false
}

// GetInEpoch returns the value of a key in an epoch.
func (a *Archive) GetInEpoch(epoch zinniasill.Epoch, key []byte) (value []byte, ok bool) {
	if at, found := a.find(epoch); found {
		return a.segments[at].get(key)
	}
	return nil, false
}

// Delete removes a key from an epoch.
func (a *Archive) Delete(epoch zinniasill.Epoch, key []byte) {
	if at, found := a.find(epoch); found {
		a.segments[at].remove(key)
	}
}

// DropBefore removes all records of the epochs before oldest.
func (a *Archive) DropBefore(oldest zinniasill.Epoch) {
	at, _ := a.find(oldest)
	a.segments = slices.Delete(a.segments, 0, at)
}

// ForEach calls visit for each record, by epoch and then in the order of storing.
func (a *Archive) ForEach(visit func(epoch zinniasill.Epoch, key, value []byte)) {
	for _, s := range a.segments {
		s.all(func(key, value []byte) { visit(s.epoch, key, value) })
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

// Bytes returns the memory that the records take.
func (a *Archive) Bytes() int {
	bytes := 0
	for _, s := range a.segments {
		bytes += s.size + 4*len(s.slots)
	}
	return bytes
}

func (a *Archive) find(epoch zinniasill.Epoch) (at int, found bool) {
	return slices.BinarySearchFunc(a.segments, epoch, func(s *segment, e zinniasill.Epoch) int {
		return int(int64(s.epoch) - int64(e))
	})
}

// slot returns the slot of a key, or the empty one where the search for it ended.
func (s *segment) slot(key []byte) (at int, found bool) {
	mask := len(s.slots) - 1
	at = int(xxhash.Sum64(key)) & mask
	for {
		switch place := s.slots[at]; place {
		case empty:
			return at, false
		case deleted:
		default:
			if known, _, _ := s.read(place); bytes.Equal(known, key) {
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

// put stores a record whose key is not in the segment.
func (s *segment) put(key, value []byte) {
	if 4*(s.used+1) > 3*len(s.slots) {
		s.reindex()
	}
	at, _ := s.slot(key)
	s.slots[at] = s.write(key, value)
	s.used++
	s.live++
}

// reindex makes room in the index and drops the deleted slots.
func (s *segment) reindex() {
	old := s.slots
	size := max(minSlots, len(old))
	if 2*s.live >= size {
		size *= 2
	}
	s.slots = make([]uint32, size)
	s.used = s.live
	for _, place := range old {
		if place >= firstPlace {
			key, _, _ := s.read(place)
			at, _ := s.slot(key)
			s.slots[at] = place
		}
	}
}

// write appends a record and returns its place.
func (s *segment) write(key, value []byte) uint32 {
	record := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen32+len(key)+len(value)), uint64(len(key)))
	record = binary.AppendUvarint(record, uint64(len(value)))
	record = append(append(record, key...), value...)
	last := len(s.chunks) - 1
	if last < 0 || len(s.chunks[last])+len(record) > cap(s.chunks[last]) {
		size := max(len(record), min(maxChunk, max(minChunk, s.size)))
		s.chunks = append(s.chunks, make([]byte, 0, size))
		s.size += size
		last++
	}
	offset := len(s.chunks[last])
	s.chunks[last] = append(s.chunks[last], record...)
	return uint32(last)<<offsetBits + uint32(offset) + firstPlace
}

// read returns the record at a place and its size.
func (s *segment) read(place uint32) (key, value []byte, size int) {
	place -= firstPlace
	data := s.chunks[place>>offsetBits][place&(maxChunk-1):]
	keySize, n := binary.Uvarint(data)
	valueSize, m := binary.Uvarint(data[n:])
	start := n + m
	middle := start + int(keySize)
	end := middle + int(valueSize)
	return data[start:middle:middle], data[middle:end:end], end
}

// all visits the records in the order of storing. A replaced record is still in its
// chunk, but not in the index.
func (s *segment) all(visit func(key, value []byte)) {
	for n, chunk := range s.chunks {
		for offset := 0; offset < len(chunk); {
			place := uint32(n)<<offsetBits + uint32(offset) + firstPlace
			key, value, size := s.read(place)
			if at, found := s.slot(key); found && s.slots[at] == place {
				visit(key, value)
			}
			offset += size
		}
	}
}

// rewrite drops the replaced records.
func (s *segment) rewrite() {
	fresh := segment{epoch: s.epoch}
	s.all(fresh.put)
	*s = fresh
}
