// Package message defines the messages between the system's own processes.
//
// Messages are plain values. A link may lose, repeat and reorder them across
// reconnects, so every protocol handles duplicates and sends again on ticks.
// Consensus messages are in package consensus, which owns them.
package message

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Version is the version of the messages. A process refuses messages of
// another version.
const Version = 2

// Limits of one job.
const (
	// MaxTasks is the highest number of tasks in a job.
	MaxTasks = 1000
	// MaxPayload is the highest payload of a task in bytes.
	MaxPayload = 64 << 10
	// MaxBody is the highest size of a submission in bytes.
	MaxBody = 8 << 20
)

// Envelope carries one message between two processes. Package peer owns its form on
// the wire.
type Envelope struct {
	Version uint16
	Cluster zinniasill.ClusterID
	From    zinniasill.Node
	// To is the receiver. Incarnation 0 addresses any incarnation.
	To zinniasill.Node
	// Body is a value of one of the message types, never a pointer.
	Body any
}

// Load is an agent's report on its own load.
type Load struct {
	Slots  int `cbor:"1,keyasint"`
	Busy   int `cbor:"2,keyasint,omitempty"`
	Queued int `cbor:"3,keyasint,omitempty"`
	// QueuedWork is the sum of the expected run times of the queued tasks.
	QueuedWork time.Duration `cbor:"4,keyasint,omitempty"`
	// RunningWork is the expected rest of the running tasks.
	RunningWork time.Duration `cbor:"5,keyasint,omitempty"`
	// Failed and Succeeded count finished tasks since the agent started.
	Failed    uint64 `cbor:"6,keyasint,omitempty"`
	Succeeded uint64 `cbor:"7,keyasint,omitempty"`
}

// LoadReport accompanies messages that carry no Load of their own.
type LoadReport struct {
	Load Load `cbor:"1,keyasint"`
}

// Renew asks a control replica for a lease and for changes after Known.
type Renew struct {
	Sequence uint64              `cbor:"1,keyasint"`
	Entry    catalog.NodeEntry   `cbor:"2,keyasint"`
	Known    zinniasill.Revision `cbor:"3,keyasint"`
}

// RenewReply grants a lease that runs from the moment the Renew was sent.
type RenewReply struct {
	Sequence uint64              `cbor:"1,keyasint"`
	Length   time.Duration       `cbor:"2,keyasint"`
	Revision zinniasill.Revision `cbor:"3,keyasint"`
	// Full replaces the node's catalog when the changes since Known are no
	// longer kept.
	Full    *catalog.Catalog `cbor:"4,keyasint,omitempty"`
	Changes []catalog.Change `cbor:"5,keyasint,omitempty"`
	// Dead is true when the node's incarnation was declared dead. The node must
	// discard its state and take a new incarnation.
	Dead bool `cbor:"6,keyasint,omitempty"`
}
