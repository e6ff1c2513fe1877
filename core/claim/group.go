package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"zinniasill"
	"zinniasill/core/catalog"
)

// groupSize is the highest number of members in a claim group.
const groupSize = 3

// shards is the number of hash shards that the keys fall into. All keys of a
// shard have the same group, so that Groups needs to score the members of an
// epoch only once per shard. With 1,400 members each is in about 35 shards,
// which keeps the load of the members within about 17% of the mean.
const shards = 1 << 14

// Group returns the claim group of a key in an epoch: up to 3 members, in
// distinct failure domains where possible. The first member has the highest
// score. Group scores every member of the epoch; use Groups for many keys.
func Group(key zinniasill.Key, epoch catalog.EpochEntry) []catalog.EpochMember {
	return NewGroups(epoch).Of(key)
}

// Groups finds the claim groups of one epoch and remembers them by hash shard,
// in 200 KB per epoch. It is not safe for concurrent use.
type Groups struct {
	members []catalog.EpochMember
	hashes  []uint64
	cached  map[uint32][groupSize]int32
}

// NewGroups returns the groups of an epoch.
func NewGroups(epoch catalog.EpochEntry) *Groups {
	g := &Groups{
		members: epoch.Members,
		hashes:  make([]uint64, len(epoch.Members)),
		cached:  map[uint32][groupSize]int32{},
	}
	for i, member := range epoch.Members {
		// Without the incarnation in the hash a restarted agent serves the same
		// shards, so that a restart changes few groups.
		g.hashes[i] = xxhash.Sum64String(string(member.Node.ID))
	}
	return g
}

// Of returns the claim group of a key, as Group does.
func (g *Groups) Of(key zinniasill.Key) []catalog.EpochMember {
	shard := shardOf(key)
	picked, ok := g.cached[shard]
	if !ok {
		picked = g.pick(shard)
		g.cached[shard] = picked
	}
	group := make([]catalog.EpochMember, 0, groupSize)
	for _, i := range picked {
		if i >= 0 {
			group = append(group, g.members[i])
		}
	}
	return group
}

// pick returns the positions of the members of a shard's group, -1 for none.
func (g *Groups) pick(shard uint32) [groupSize]int32 {
	var seed [4]byte
	binary.LittleEndian.PutUint32(seed[:], shard)
	hash := xxhash.Sum64(seed[:])
	picked := [groupSize]int32{-1, -1, -1}
	for n := range picked {
		picked[n] = g.best(hash, picked[:n], true)
		if picked[n] < 0 {
			picked[n] = g.best(hash, picked[:n], false)
		}
	}
	return picked
}

// best returns the member with the highest score that is not yet picked and,
// if distinct, in no failure domain of a picked one.
func (g *Groups) best(shard uint64, picked []int32, distinct bool) int32 {
	found := int32(-1)
	var high uint64
	for i := range g.members {
		if g.excluded(int32(i), picked, distinct) {
			continue
		}
		score := mix(g.hashes[i] ^ shard)
		if found < 0 || score > high || score == high && g.members[i].Node.ID < g.members[found].Node.ID {
			found = int32(i)
			high = score
		}
	}
	return found
}

func (g *Groups) excluded(i int32, picked []int32, distinct bool) bool {
	for _, p := range picked {
		if p == i || p >= 0 && distinct && g.members[p].Domain == g.members[i].Domain {
			return true
		}
	}
	return false
}

// shardOf hashes the parts of a key one after the other; the zero byte keeps
// ("a", "bc") apart from ("ab", "c").
func shardOf(key zinniasill.Key) uint32 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(key.Team))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(key.Client)
	return uint32(hash.Sum64() % shards)
}

// mix spreads every input bit over the output (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
