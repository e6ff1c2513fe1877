package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/rendezvous"
)

// groupSize is the maximum number of members of a claim group.
const groupSize = 3

// shardCount is the number of hash shards that the keys are divided into. All keys of a
// shard have the same group, so that Groups needs to score the members of an epoch only
// once per shard. With 1,400 members, each is a member of about 35 groups, which keeps
// the load of the members within about 17% of the mean.
const shardCount = 1 << 14

// Group returns the claim group of a key in an epoch: up to 3 members, in distinct
// failure domains if possible. The first member has the highest score. Group scores
// every member of the epoch; use Groups for many keys.
func Group(key zinniasill.Key, epoch catalog.EpochEntry) []catalog.EpochMember {
	return NewGroups(epoch).Of(key)
}

// Groups computes the claim groups of one epoch and caches them by hash shard, which
// takes up to 200 KB per epoch. It is not safe for concurrent use.
type Groups struct {
	members      []catalog.EpochMember
	hashes       []uint64
	shardMembers map[uint32][groupSize]int32
}

// NewGroups returns the claim groups of an epoch.
func NewGroups(epoch catalog.EpochEntry) *Groups {
	g := &Groups{
		members:      epoch.Members,
		hashes:       make([]uint64, len(epoch.Members)),
		shardMembers: map[uint32][groupSize]int32{},
	}
	for i, member := range epoch.Members {
		// The hash excludes the incarnation, so that a restart moves no shards to other
		// members.
		g.hashes[i] = rendezvous.Hash(string(member.Node.ID))
	}
	return g
}

// Of returns the claim group of a key, like Group.
func (g *Groups) Of(key zinniasill.Key) []catalog.EpochMember {
	shard := shardOf(key)
	picked, ok := g.shardMembers[shard]
	if !ok {
		picked = g.selectMembers(shard)
		g.shardMembers[shard] = picked
	}
	group := make([]catalog.EpochMember, 0, groupSize)
	for _, i := range picked {
		if i >= 0 {
			group = append(group, g.members[i])
		}
	}
	return group
}

// selectMembers returns the indexes of the members of a shard's group. Each missing
// member is -1.
func (g *Groups) selectMembers(shard uint32) [groupSize]int32 {
	var seed [4]byte
	binary.LittleEndian.PutUint32(seed[:], shard)
	hash := xxhash.Sum64(seed[:])
	picked := [groupSize]int32{-1, -1, -1}
	for n := range picked {
		picked[n] = g.highestScoring(hash, picked[:n], true)
		if picked[n] < 0 {
			picked[n] = g.highestScoring(hash, picked[:n], false)
		}
	}
	return picked
}

// highestScoring returns the index of the member with the highest score that is not yet
// picked and, if distinct is set, in none of the failure domains of those picked. It
// returns -1 if there is none.
func (g *Groups) highestScoring(shard uint64, picked []int32, distinct bool) int32 {
	found := int32(-1)
	var high uint64
	for i := range g.members {
		if g.excluded(int32(i), picked, distinct) {
			continue
		}
		score := rendezvous.Score(shard, g.hashes[i])
		if found < 0 || score > high || score == high && g.members[i].Node.ID < g.members[found].Node.ID {
			found = int32(i)
			high = score
		}
	}
	return found
}

// excluded reports whether member i is picked already or, if distinct is set, in the
// failure domain of a picked one.
func (g *Groups) excluded(i int32, picked []int32, distinct bool) bool {
	for _, p := range picked {
		if p == i || p >= 0 && distinct && g.members[p].Domain == g.members[i].Domain {
			return true
		}
	}
	return false
}

// shardOf returns the hash shard of a key. The zero byte between the parts of the key
// distinguishes ("a", "bc") from ("ab", "c").
func shardOf(key zinniasill.Key) uint32 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(key.Team))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(key.Client)
	return uint32(hash.Sum64() % shardCount)
}
