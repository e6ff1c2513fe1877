package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

// CommandVersion is the version of the encoding of commands and of the rules that
// Apply validates them by. Replicas with different rules would diverge, so a change
// of a rule needs a new version.
const CommandVersion = 2

// firstCommandVersion is the earliest version that is still applied. Version 2 added
// PutDocument; the rules of version 1 are unchanged.
const firstCommandVersion = 1

// MaxDocumentSize is the maximum size of a document in bytes.
const MaxDocumentSize = 256 << 10

// MaxCommandSize is the maximum size of an encoded command in bytes.
const MaxCommandSize = MaxDocumentSize + 64<<10

// Errors of Decode. A replica that gets one for a log entry must stop, because
// another replica may have been able to apply the entry.
var (
	ErrCommandVersion   = eris.New("unknown command version")
	ErrCommandMalformed = eris.New("malformed command")
)

// RequestID identifies one change by an operator. A command that is resent with the
// same id gets the result of the first one.
type RequestID string

// Command is one entry of the replicated log. Exactly one of the pointers is set.
// Operators' commands carry a request id; those of the leader's background tasks have
// none, because applying them twice has no effect.
type Command struct {
	Version  uint16         `cbor:"1,keyasint"`
	Request  RequestID      `cbor:"2,keyasint,omitempty"`
	Profile  *PutProfile    `cbor:"3,keyasint,omitempty"`
	Delete   *DeleteProfile `cbor:"4,keyasint,omitempty"`
	Domain   *PutDomain     `cbor:"5,keyasint,omitempty"`
	Endpoint *PutEndpoint   `cbor:"6,keyasint,omitempty"`
	Team     *PutTeam       `cbor:"7,keyasint,omitempty"`
	Register *RegisterNode  `cbor:"8,keyasint,omitempty"`
	Dead     *DeclareDead   `cbor:"9,keyasint,omitempty"`
	Epoch    *NewEpoch      `cbor:"10,keyasint,omitempty"`
	Drop     *DropEpochs    `cbor:"11,keyasint,omitempty"`
	Handover *Handover      `cbor:"12,keyasint,omitempty"`
	Document *PutDocument   `cbor:"13,keyasint,omitempty"`
}

// PutProfile creates or replaces a profile. As in the other operators' commands with
// this field, Base is the revision that the change is based on, 0 for a new object.
// If it is not the current revision, the command is refused with CodeConflict.
type PutProfile struct {
	Base    zinniasill.Revision `cbor:"1,keyasint"`
	Profile catalog.Profile     `cbor:"2,keyasint"`
}

// DeleteProfile removes a profile.
type DeleteProfile struct {
	Base zinniasill.Revision    `cbor:"1,keyasint"`
	Name zinniasill.ProfileName `cbor:"2,keyasint"`
}

// PutDomain takes a failure domain out of service or puts it back into service.
type PutDomain struct {
	Base  zinniasill.Revision `cbor:"1,keyasint"`
	Name  zinniasill.Domain   `cbor:"2,keyasint"`
	State catalog.DomainState `cbor:"3,keyasint"`
}

// PutEndpoint sets the state of the endpoint next to an agent, so that it leaves or
// serves.
type PutEndpoint struct {
	Base  zinniasill.Revision `cbor:"1,keyasint"`
	Name  zinniasill.NodeID   `cbor:"2,keyasint"`
	State catalog.ServeState  `cbor:"3,keyasint"`
}

// PutTeam sets the quota of a team. A quota of 0 means no limit.
type PutTeam struct {
	Base  zinniasill.Revision `cbor:"1,keyasint"`
	Name  zinniasill.Team     `cbor:"2,keyasint"`
	Quota int                 `cbor:"3,keyasint"`
}

// RegisterNode adds an entry or agent to the live nodes, or updates it. Another
// incarnation of the same node is declared dead.
type RegisterNode struct {
	Entry catalog.NodeEntry `cbor:"1,keyasint"`
}

// DeclareDead removes an incarnation, which cannot be registered again.
type DeclareDead struct {
	Node zinniasill.Node `cbor:"1,keyasint"`
}

// NewEpoch starts an epoch with the agents that serve when it is applied. Number
// must be the current epoch plus 1, so that a repeated command has no effect.
type NewEpoch struct {
	Number zinniasill.Epoch `cbor:"1,keyasint"`
}

// DropEpochs removes all epochs up to and including UpTo from the retention window.
// The current epoch cannot be dropped.
type DropEpochs struct {
	UpTo zinniasill.Epoch `cbor:"1,keyasint"`
}

// Handover makes Host the host of the records of the agent Node, which stops as
// planned and is no longer alive afterwards.
type Handover struct {
	Node zinniasill.Node `cbor:"1,keyasint"`
	Host zinniasill.Node `cbor:"2,keyasint"`
}

// PutDocument stores a whole configuration under a version that its writer assigned.
// The highest version wins. A version that is not higher than the current one changes
// nothing and is no error, because several writers send concurrently and resend after
// lost replies.
type PutDocument struct {
	Version zinniasill.DocumentVersion `cbor:"1,keyasint"`
	Content []byte                     `cbor:"2,keyasint"`
}

// Limits of the decoder, which also decodes snapshots with their long lists.
const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder that sorts map keys, so that equal states have equal
// snapshots.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder returns a decoder that refuses unknown fields: a replica that skipped one
// would diverge from replicas that know it.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a command as a log entry and sets its Version to CommandVersion. It
// returns an error that wraps ErrCommandMalformed unless the command has exactly one
// body and at most MaxCommandSize bytes and can be decoded: replicas stop at an entry that
// they cannot decode. A text that is not valid UTF-8, for example, can be encoded only.
func Encode(command Command) ([]byte, error) {
	command.Version = CommandVersion
	if n := command.bodyCount(); n != 1 {
		return nil, eris.Wrapf(ErrCommandMalformed, "encode command with %d bodies", n)
	}
	data, err := encoder.Marshal(command)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	if len(data) > MaxCommandSize {
		return nil, eris.Wrapf(ErrCommandMalformed, "encode command of %d bytes, limit %d", len(data), MaxCommandSize)
	}
	if _, err := Decode(data); err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return data, nil
}

// Decode decodes the command of a log entry. Its errors wrap ErrCommandVersion or
// ErrCommandMalformed.
func Decode(data []byte) (Command, error) {
	if len(data) > MaxCommandSize {
		return Command{}, eris.Wrapf(ErrCommandMalformed, "%d bytes, limit %d", len(data), MaxCommandSize)
	}
	// The version is decoded first: a later version may have fields that are unknown
	// here, and must be reported as an unknown version.
	var head struct {
		Version uint16 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return Command{}, eris.Wrap(ErrCommandMalformed, err.Error())
	}
	if head.Version < firstCommandVersion || head.Version > CommandVersion {
		return Command{}, eris.Wrapf(ErrCommandVersion, "version %d, latest supported is %d", head.Version, CommandVersion)
	}
	var command Command
	if err := decoder.Unmarshal(data, &command); err != nil {
		return Command{}, eris.Wrap(ErrCommandMalformed, err.Error())
	}
	if n := command.bodyCount(); n != 1 {
		return Command{}, eris.Wrapf(ErrCommandMalformed, "%d bodies", n)
	}
	return command, nil
}

// bodyCount returns the number of pointers that are set.
func (c Command) bodyCount() int {
	count := 0
	for _, set := range []bool{
		c.Profile != nil, c.Delete != nil, c.Domain != nil, c.Endpoint != nil,
		c.Team != nil, c.Register != nil, c.Dead != nil, c.Epoch != nil,
		c.Drop != nil, c.Handover != nil, c.Document != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// fromOperator reports whether the command is an operator's, which needs a request id.
func (c Command) fromOperator() bool {
	return c.Profile != nil || c.Delete != nil || c.Domain != nil || c.Endpoint != nil ||
		c.Team != nil || c.Document != nil
}
