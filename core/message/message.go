// Package message defines the messages between the system's own processes.
//
// Messages are plain values. A link may lose, duplicate and reorder them across
// reconnects, so every protocol tolerates duplicates and resends on ticks. Package
// consensus defines its own messages.
package message

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Version is the version of the message format. A process refuses messages of another
// version.
const Version = 2

// Limits of one job.
const (
	// MaxTasks is the maximum number of tasks in a job.
	MaxTasks = 1000
	// MaxPayload is the maximum size of a task's payload in bytes.
	MaxPayload = 64 << 10
	// MaxBody is the maximum size of a submission in bytes.
	MaxBody = 8 << 20
)

// Envelope carries one message between two processes. Package peer defines its encoding
// on the wire.
type Envelope struct {
	Version uint16
	Cluster zinniasill.ClusterID
	From    zinniasill.Node
	// To is the recipient. Incarnation 0 addresses any incarnation.
	To zinniasill.Node
	// Body is a value of one of the message types, never a pointer.
	Body any
}

// Load is an agent's report of its own load.
type Load struct {
	Slots  int `cbor:"1,keyasint"`
	Busy   int `cbor:"2,keyasint,omitempty"`
	Queued int `cbor:"3,keyasint,omitempty"`
	// QueuedWork is the sum of the expected run times of the queued tasks.
	QueuedWork time.Duration `cbor:"4,keyasint,omitempty"`
	// RunningWork is the expected remaining run time of the running tasks.
	RunningWork time.Duration `cbor:"5,keyasint,omitempty"`
	// Failed and Succeeded count finished tasks since the agent started.
	Failed    uint64 `cbor:"6,keyasint,omitempty"`
	Succeeded uint64 `cbor:"7,keyasint,omitempty"`
}

// LoadReport carries the load alongside messages that have no Load of their own.
type LoadReport struct {
	Load Load `cbor:"1,keyasint"`
}

// Renew requests a lease from a control replica, and the changes since Known.
type Renew struct {
	Sequence uint64              `cbor:"1,keyasint"`
	Entry    catalog.NodeEntry   `cbor:"2,keyasint"`
	Known    zinniasill.Revision `cbor:"3,keyasint"`
	// NoFull asks for a reply without a full catalog, which may be large.
	NoFull bool `cbor:"4,keyasint,omitempty"`
	// Replicas is the digest of the list of control replicas that the node knows, 0 if it
	// knows only those of its settings.
	Replicas uint64 `cbor:"5,keyasint,omitempty"`
}

// Replica is a control replica and its address.
type Replica struct {
	ID      zinniasill.NodeID `cbor:"1,keyasint"`
	Address string            `cbor:"2,keyasint"`
}

// ReplicasDigest returns the digest of a list of control replicas.
func ReplicasDigest(replicas []Replica) uint64 {
	digest := xxhash.New()
	for _, replica := range replicas {
		_, _ = digest.WriteString(string(replica.ID) + "\x00" + replica.Address + "\x00")
	}
	return digest.Sum64()
}

// RenewReply grants a lease that is valid for Length from the time at which the Renew
// was sent.
type RenewReply struct {
	Sequence uint64              `cbor:"1,keyasint"`
	Length   time.Duration       `cbor:"2,keyasint"`
	Revision zinniasill.Revision `cbor:"3,keyasint"`
	// Full replaces the node's catalog if the changes since Known are no longer
	// available.
	Full    *catalog.Catalog `cbor:"4,keyasint,omitempty"`
	Changes []catalog.Change `cbor:"5,keyasint,omitempty"`
	// Dead is true if the node's incarnation has been declared dead. The node must
	// discard its state and take a new incarnation.
	Dead bool `cbor:"6,keyasint,omitempty"`
	// FullOmitted is set if the node needs a full catalog but has asked for none.
	FullOmitted bool `cbor:"7,keyasint,omitempty"`
	// Replicas lists the voting control replicas if the node knows another list.
	Replicas []Replica `cbor:"8,keyasint,omitempty"`
}
