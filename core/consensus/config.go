package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Config.
const (
	DefaultElectionMin     = 300 * time.Millisecond
	DefaultElectionMax     = 600 * time.Millisecond
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultProposalTimeout = 2 * time.Second
	DefaultBatchEntries    = 256
	DefaultBatchBytes      = 256 << 10
	DefaultKeepEntries     = 1024
)

// Config configures a Replica. Self, Peers and Rand are required.
type Config struct {
	// Self is this replica with the instance of its data folder.
	Self Member
	// Peers are the replicas named in the settings, this one included. Their
	// instances are not used.
	Peers []Member
	// NewCluster lets the replica form a new cluster with its peers if none of
	// them has state.
	NewCluster bool
	// Open lets replicas join whose names no member has, through any member. Peers then
	// need not be all replicas: a new one finds the group through those that it knows.
	Open bool
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// ElectionMin and ElectionMax bound the time without a leader after which a
	// replica stands for election.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Heartbeat is the time between two messages of a leader to a follower.
	Heartbeat time.Duration
	// ProposalTimeout is the time after which a forwarded proposal or read without
	// an answer is reported as lost.
	ProposalTimeout time.Duration
	// BatchEntries and BatchBytes bound the entries of one Append.
	BatchEntries int
	BatchBytes   int
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for followers that lag behind.
	KeepEntries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionMin, DefaultElectionMin)
	setDefault(&c.ElectionMax, max(DefaultElectionMax, c.ElectionMin))
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
	setDefault(&c.BatchEntries, DefaultBatchEntries)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) check() error {
	switch {
	case c.Self.Name == "" || c.Self.Instance == 0:
		return eris.New("consensus: the replica has no name or no instance")
	case indexName(c.Peers, c.Self.Name) < 0:
		return eris.Errorf("consensus: %q is not among the listed members", c.Self.Name)
	case c.Rand == nil:
		return eris.New("consensus: no source of randomness")
	case c.ElectionMax < c.ElectionMin:
		return eris.Errorf("consensus: longest election timeout %v is below the shortest %v", c.ElectionMax, c.ElectionMin)
	case c.Heartbeat >= c.ElectionMin:
		return eris.Errorf("consensus: heartbeat %v is not below the shortest election timeout %v", c.Heartbeat, c.ElectionMin)
	}
	for i, peer := range c.Peers {
		if indexName(c.Peers, peer.Name) != i {
			return eris.Errorf("consensus: member %q is listed twice", peer.Name)
		}
	}
	return nil
}
