package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Config.
const (
	DefaultMinElectionTimeout     = 300 * time.Millisecond
	DefaultMaxElectionTimeout     = 600 * time.Millisecond
	DefaultHeartbeatInterval       = 100 * time.Millisecond
	DefaultProposalTimeout = 2 * time.Second
	DefaultMaxBatchEntries    = 256
	DefaultMaxBatchBytes      = 256 << 10
	DefaultTrailingEntries     = 1024
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
	// MinElectionTimeout and ElectionMax bound the time without a leader after which a
	// replica stands for election.
	MinElectionTimeout time.Duration
	MaxElectionTimeout time.Duration
	// HeartbeatInterval is the time between two messages of a leader to a follower.
	HeartbeatInterval time.Duration
	// ProposalTimeout is the time after which a forwarded proposal or read without
	// an answer is reported as lost.
	ProposalTimeout time.Duration
	// MaxBatchEntries and BatchBytes bound the entries of one Append.
	MaxBatchEntries int
	MaxBatchBytes   int
	// TrailingEntries is the number of entries before a snapshot that stay in memory
	// for followers that lag behind.
	TrailingEntries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MinElectionTimeout, DefaultMinElectionTimeout)
	setDefault(&c.MaxElectionTimeout, max(DefaultMaxElectionTimeout, c.MinElectionTimeout))
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
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
		return eris.New("consensus: the replica has no name or no instance")
	case indexName(c.Peers, c.Self.Name) < 0:
		return eris.Errorf("consensus: %q is not among the listed members", c.Self.Name)
	case c.Rand == nil:
		return eris.New("consensus: no source of randomness")
	case c.MaxElectionTimeout < c.MinElectionTimeout:
		return eris.Errorf("consensus: longest election timeout %v is below the shortest %v", c.MaxElectionTimeout, c.MinElectionTimeout)
	case c.HeartbeatInterval >= c.MinElectionTimeout:
		return eris.Errorf("consensus: heartbeat %v is not below the shortest election timeout %v", c.HeartbeatInterval, c.MinElectionTimeout)
	}
	for i, peer := range c.Peers {
		if indexName(c.Peers, peer.Name) != i {
			return eris.Errorf("consensus: member %q is listed twice", peer.Name)
		}
	}
	return nil
}
