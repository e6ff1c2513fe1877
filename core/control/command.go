package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

// CommandVersion is the version of the commands. It also covers the rules that
// Apply checks commands by: replicas with different rules would diverge, so a
// change of a rule needs a new version.
const CommandVersion = 2

// firstCommandVersion is the earliest version that is still applied. Version 2 added
// the document; the rules of version 1 are unchanged.
const firstCommandVersion = 1

// MaxDocumentSize is the highest size of a document in bytes.
const MaxDocumentSize = 256 << 10

// MaxCommandSize is the highest size of an encoded command in bytes.
const MaxCommandSize = MaxDocumentSize + 64<<10

// Errors of Decode. A replica that meets one in the log must stop: another
// replica may have been able to apply the entry.
var (
	ErrCommandVersion   = eris.New("unknown command version")
	ErrCommandMalformed = eris.New("malformed command")
)

// RequestID names one change by an operator. A command that is sent again with
// the same id gets the first answer.
type RequestID string

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. Operators' commands carry a request id; commands of the leader's duties
// have none, because applying them twice has no effect.
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

// PutProfile creates or replaces a profile. Base is the revision of the profile
// that the change started from, 0 for a new one; so in all operators' commands.
type PutProfile struct {
	Base    zinniasill.Revision `cbor:"1,keyasint"`
	Profile catalog.Profile     `cbor:"2,keyasint"`
}

// DeleteProfile removes a profile.
type DeleteProfile struct {
	Base zinniasill.Revision    `cbor:"1,keyasint"`
	Name zinniasill.ProfileName `cbor:"2,keyasint"`
}

// PutDomain takes a failure domain out of service or returns it.
type PutDomain struct {
	Base  zinniasill.Revision `cbor:"1,keyasint"`
	Name  zinniasill.Domain   `cbor:"2,keyasint"`
	State catalog.DomainState `cbor:"3,keyasint"`
}

// PutEndpoint makes the endpoint beside an agent leave or serve.
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

// RegisterNode lists an entry or agent, or changes what is listed. Another
// incarnation of the same node is thereby declared dead.
type RegisterNode struct {
	Entry catalog.NodeEntry `cbor:"1,keyasint"`
}

// DeclareDead removes an incarnation for good.
type DeclareDead struct {
	Node zinniasill.Node `cbor:"1,keyasint"`
}

// NewEpoch starts an epoch with the agents that serve when it is applied. Number
// must follow the current epoch, so that a repeated command has no effect.
type NewEpoch struct {
	Number zinniasill.Epoch `cbor:"1,keyasint"`
}

// DropEpochs removes all epochs up to UpTo from the retention window. The
// current epoch cannot be dropped.
type DropEpochs struct {
	UpTo zinniasill.Epoch `cbor:"1,keyasint"`
}

// Handover lists Host as the holder of the records of the stopped agent Node.
type Handover struct {
	Node zinniasill.Node `cbor:"1,keyasint"`
	Host zinniasill.Node `cbor:"2,keyasint"`
}

// PutDocument stores a whole configuration under a version that its writer chose. The
// highest version wins; one that is not higher changes nothing and is no error, since
// several writers send at the same time and send again after lost answers.
type PutDocument struct {
	Version zinniasill.DocumentVersion `cbor:"1,keyasint"`
	Content []byte                     `cbor:"2,keyasint"`
}

// Limits of the decoder. They leave room for the lists of a snapshot.
const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder sorts map keys, so that equal states have equal snapshots.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder refuses unknown fields, which are never to be skipped silently.
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

// Encode returns the command as an entry of the log, with the current version.
func Encode(command Command) ([]byte, error) {
	command.Version = CommandVersion
	if n := command.bodies(); n != 1 {
		return nil, eris.Wrapf(ErrCommandMalformed, "encode command with %d bodies", n)
	}
	data, err := encoder.Marshal(command)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	if len(data) > MaxCommandSize {
		return nil, eris.Wrapf(ErrCommandMalformed, "encode command of %d bytes, limit %d", len(data), MaxCommandSize)
	}
	return data, nil
}

// Decode returns the command of an entry of the log. Its errors wrap
// ErrCommandVersion or ErrCommandMalformed.
func Decode(data []byte) (Command, error) {
	if len(data) > MaxCommandSize {
		return Command{}, eris.Wrapf(ErrCommandMalformed, "%d bytes, limit %d", len(data), MaxCommandSize)
	}
	// The version is read first: a later version may have fields that are unknown
	// here, and must be reported as such.
	var head struct {
		Version uint16 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return Command{}, eris.Wrap(ErrCommandMalformed, err.Error())
	}
	if head.Version < firstCommandVersion || head.Version > CommandVersion {
		return Command{}, eris.Wrapf(ErrCommandVersion, "version %d, known is %d", head.Version, CommandVersion)
	}
	var command Command
	if err := decoder.Unmarshal(data, &command); err != nil {
		return Command{}, eris.Wrap(ErrCommandMalformed, err.Error())
	}
	if n := command.bodies(); n != 1 {
		return Command{}, eris.Wrapf(ErrCommandMalformed, "%d bodies", n)
	}
	return command, nil
}

func (c Command) bodies() int {
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

// byOperator reports whether the command is an operator's, which needs a request
// id.
func (c Command) byOperator() bool {
	return c.Profile != nil || c.Delete != nil || c.Domain != nil || c.Endpoint != nil ||
		c.Team != nil || c.Document != nil
}
