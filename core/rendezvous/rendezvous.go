// Package rendezvous implements rendezvous hashing: processes that rank the same
// candidates for the same key get the same order, and a candidate that comes or goes
// changes the order of no others.
//
//	hash := rendezvous.Hash("agent-7")
//	if rendezvous.Score(key, hash) > rendezvous.Score(key, other) { ... }
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name, for use with Score.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score returns the rank of a candidate for a key, both given by their hashes. The
// highest score comes first.
func Score(key, candidate uint64) uint64 {
	return mix(key ^ candidate)
}

// mix is the finalizer of SplitMix64, in which every input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
