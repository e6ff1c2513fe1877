package zinniasill

import (
	"cmp"
	"fmt"
)

// NodeID names one process of the system (a control replica, an entry or an
// agent). It is unique in a cluster and stays the same across restarts.
type NodeID string

// Incarnation tells apart the lives of one process. It is random, and a process
// that loses its memory takes a new one.
type Incarnation uint64

// Node is one life of one process.
type Node struct {
	ID          NodeID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// String returns the node in the form id/incarnation.
func (n Node) String() string {
	return fmt.Sprintf("%s/%x", n.ID, uint64(n.Incarnation))
}

// Compare returns -1, 0 or 1 as n sorts before, like or after other, by id and then
// by incarnation.
func (n Node) Compare(other Node) int {
	return cmp.Or(cmp.Compare(n.ID, other.ID), cmp.Compare(n.Incarnation, other.Incarnation))
}

// ClusterID identifies a cluster from its formation on. Messages of another
// cluster are refused.
type ClusterID string

// Domain names a failure domain.
type Domain string

// Team names the group of callers that a quota applies to.
type Team string

// ProfileName names a profile.
type ProfileName string

// Kind names a kind of endpoint. A profile asks for one kind, an endpoint
// announces the kinds that it serves.
type Kind string

// Key identifies a job: the team and the idempotency key that its caller chose.
type Key struct {
	Team   Team   `cbor:"1,keyasint"`
	Client string `cbor:"2,keyasint"`
}

// String returns the key in the form team/client-key.
func (k Key) String() string {
	return string(k.Team) + "/" + k.Client
}

// TaskIndex is the position of a task in its job, from 0.
type TaskIndex uint32

// Attempt numbers the offers of one task by one owner, from 1.
type Attempt uint32

// Term numbers the successive owners of a job, from 1.
type Term uint64

// Epoch numbers the lists of agents that claim groups are chosen from.
type Epoch uint64

// Revision numbers the accepted changes of the configuration, from 1.
type Revision uint64

// Digest is a SHA-256 digest of a job's body. It detects a key that is reused
// for another body.
type Digest [32]byte

// TaskID names one task of a job that has steps.
type TaskID struct {
	Job   string `cbor:"1,keyasint"`
	Step  uint32 `cbor:"2,keyasint,omitempty"`
	Index uint32 `cbor:"3,keyasint,omitempty"`
}

// String returns the id in the form job.step.index.
func (id TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Step, id.Index)
}

// EndpointIncarnation is one life of an endpoint.
type EndpointIncarnation struct {
	// ID may be the same in later lives.
	ID string
	// StartedMillis is the endpoint's start in milliseconds since 1970. It is higher in a
	// later life.
	StartedMillis int64
}

// DocumentVersion numbers the versions of a configuration document. Its writers choose
// it; versions may have gaps.
type DocumentVersion int64
