package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Config.
const (
	DefaultMinElectionTimeout = 300 * time.Millisecond
	DefaultMaxElectionTimeout = 600 * time.Millisecond
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultProposalTimeout    = 2 * time.Second
	DefaultRemovalTimeout     = 1500 * time.Millisecond
	DefaultMaxBatchEntries    = 256
	DefaultMaxBatchBytes      = 256 << 10
	DefaultTrailingEntries    = 1024
)

// Config configures a Replica. Self, Peers and Rand are required.
type Config struct {
	// Self is this replica with the instance of its data folder.
	Self Member
	// Peers are the replicas listed in the settings, including this one. Their
	// instances are not used.
	Peers []Member
	// NewCluster allows the replica to form a new cluster with its peers if none of
	// them has state.
	NewCluster bool
	// Open allows replicas with new names to join without Admit, by a request to any
	// member. Peers may then be a part of the replicas: a new replica joins through those
	// that it lists.
	Open bool
	// FirstStart states that the whole cluster starts for the first time, together with this
	// replica. A replica that joins an open cluster later is the successor of one that is
	// gone.
	FirstStart bool
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// MinElectionTimeout and MaxElectionTimeout bound the random time without a leader
	// after which a replica starts an election.
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	// HeartbeatInterval is the longest time between two messages of a leader to a
	// follower.
	HeartbeatInterval time.Duration
	// ProposalTimeout is the time after which a forwarded proposal without an answer
	// ends as Unknown, and a forwarded read fails.
	ProposalTimeout time.Duration
	// RemovalTimeout is the time without an answer after which a surplus voter is removed
	// from the membership.
	RemovalTimeout time.Duration
	// MaxBatchEntries and MaxBatchBytes limit the entries of one Append. An entry that
	// exceeds MaxBatchBytes is sent alone.
	MaxBatchEntries int
	MaxBatchBytes   int
	// TrailingEntries is the number of entries before a snapshot that stay in memory,
	// so that slow followers can catch up without the snapshot.
	TrailingEntries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MinElectionTimeout, DefaultMinElectionTimeout)
	setDefault(&c.MaxElectionTimeout, max(DefaultMaxElectionTimeout, c.MinElectionTimeout))
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
	setDefault(&c.RemovalTimeout, max(DefaultRemovalTimeout, c.MaxElectionTimeout))
	setDefault(&c.MaxBatchEntries, DefaultMaxBatchEntries)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
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
		return eris.New("consensus: the replica needs a name and an instance")
	case indexName(c.Peers, c.Self.Name) < 0:
		return eris.Errorf("consensus: %q is not among the listed members", c.Self.Name)
	case c.Rand == nil:
		return eris.New("consensus: Rand is not set")
	case c.MaxElectionTimeout < c.MinElectionTimeout:
		return eris.Errorf("consensus: maximum election timeout %v is below the minimum %v", c.MaxElectionTimeout, c.MinElectionTimeout)
	case c.HeartbeatInterval >= c.MinElectionTimeout:
		return eris.Errorf("consensus: heartbeat interval %v is not below the minimum election timeout %v", c.HeartbeatInterval, c.MinElectionTimeout)
	}
	for i, peer := range c.Peers {
		if indexName(c.Peers, peer.Name) != i {
			return eris.Errorf("consensus: member %q is listed twice", peer.Name)
		}
	}
	return nil
}
