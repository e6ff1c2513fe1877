package control

import (
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

// limits bounds what a machine remembers.
type limits struct {
	// requests bounds the request ids that are recognised.
	requests int
	// dead bounds the incarnations that are known to be dead.
	dead int
	// changes bounds the changes that are sent one by one. A node that misses more
	// gets the full catalog.
	changes int
}

// defaultLimits are nearly two days of changes at 4,300 a day, and 177 days of
// dead incarnations at 370 restarts a day.
var defaultLimits = limits{requests: 8192, dead: 65536, changes: 4096}

// Code says why a command was refused. It is empty when the command was applied.
type Code string

// Values of Code.
const (
	// CodeConflict means that the object has another revision than the base.
	CodeConflict Code = "revision-conflict"
	// CodeInvalid means that the command has findings.
	CodeInvalid Code = "invalid"
	// CodeRequestReused means that the request id belongs to another command.
	CodeRequestReused Code = "request-reused"
	// CodeDeadIncarnation means that the incarnation was declared dead.
	CodeDeadIncarnation Code = "dead-incarnation"
	// CodeNoHost means that the host of a handover is no live agent.
	CodeNoHost Code = "no-host"
	// CodeEpochRefused means that the epoch does not follow the current one, has no
	// members, or is the current one and cannot be dropped.
	CodeEpochRefused Code = "epoch-refused"
)

// Result is the answer to a command.
type Result struct {
	Code Code `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the object after the command, 0 when there is no
	// such object. After a conflict it is the current revision.
	Revision zinniasill.Revision `cbor:"2,keyasint,omitempty"`
	Findings FindingErrors       `cbor:"3,keyasint,omitempty"`
	// Err means that the entry could not be interpreted and nothing was applied.
	// The replica must stop, because other replicas may have applied it.
	Err error `cbor:"-"`
}

// ErrAlreadyApplied is the error for an entry at or before the last applied one.
var ErrAlreadyApplied = eris.New("entry was already applied")

// request is the remembered answer of a request id.
type request struct {
	ID     RequestID         `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
	Result Result            `cbor:"3,keyasint"`
}

// Machine is the configuration state of a cluster. It is not safe for concurrent
// use. Use New.
type Machine struct {
	limits  limits
	applied uint64
	catalog *catalog.Catalog
	// shared is true when the catalog was handed out and must be copied before it
	// changes.
	shared  bool
	changes []catalog.Change

	requests map[RequestID]request
	// requestOrder holds the ids of requests, oldest first; deadOrder likewise.
	requestOrder []RequestID
	dead         map[zinniasill.Node]struct{}
	deadOrder    []zinniasill.Node
}

// New returns a machine without any configuration.
func New() *Machine {
	return &Machine{
		limits:   defaultLimits,
		catalog:  catalog.New(),
		requests: map[RequestID]request{},
		dead:     map[zinniasill.Node]struct{}{},
	}
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 {
	return m.applied
}

// Catalog returns the current configuration. It must not be modified and is not
// changed by later commands.
func (m *Machine) Catalog() *catalog.Catalog {
	m.shared = true
	return m.catalog
}

// Dead reports whether an incarnation was declared dead or has stopped.
func (m *Machine) Dead(node zinniasill.Node) bool {
	_, ok := m.dead[node]
	return ok
}

// ChangesSince returns the changes after a revision, or false when they are no
// longer kept and the full catalog is needed.
func (m *Machine) ChangesSince(known zinniasill.Revision) ([]catalog.Change, bool) {
	if known > m.catalog.Revision {
		return nil, false
	}
	missing := int(m.catalog.Revision - known)
	if missing > len(m.changes) {
		return nil, false
	}
	return slices.Clone(m.changes[len(m.changes)-missing:]), true
}

// Advance records that an entry without a command, such as a change of the
// replicas, was committed at index.
func (m *Machine) Advance(index uint64) {
	m.applied = max(m.applied, index)
}

// Apply applies the entry at index. Entries must be applied in order; indexes may
// be missing where the log has entries without a command.
func (m *Machine) Apply(index uint64, data []byte) Result {
	if index <= m.applied {
		return Result{Err: eris.Wrapf(ErrAlreadyApplied, "apply entry %d, last applied is %d", index, m.applied)}
	}
	command, err := Decode(data)
	if err != nil {
		return Result{Err: eris.Wrapf(err, "apply entry %d", index)}
	}
	m.applied = index
	if !command.byOperator() {
		return m.execute(command)
	}
	digest := sha256.Sum256(data)
	if first, ok := m.requests[command.Request]; ok {
		if first.Digest != digest {
			return Result{Code: CodeRequestReused}
		}
		return first.Result
	}
	result := m.execute(command)
	// An id that is not well formed is not remembered: its length has no bound.
	if command.Request != "" && len(command.Request) <= MaxRequestIDLength {
		m.remember(request{ID: command.Request, Digest: digest, Result: result})
	}
	return result
}

func (m *Machine) remember(req request) {
	m.requests[req.ID] = req
	m.requestOrder = append(m.requestOrder, req.ID)
	if len(m.requestOrder) > m.limits.requests {
		delete(m.requests, m.requestOrder[0])
		m.requestOrder = m.requestOrder[1:]
	}
}

func (m *Machine) execute(command Command) Result {
	if found := command.Validate(); len(found) > 0 {
		return Result{Code: CodeInvalid, Findings: found}
	}
	switch {
	case command.Profile != nil:
		return m.putProfile(*command.Profile)
	case command.Delete != nil:
		return m.deleteProfile(*command.Delete)
	case command.Domain != nil:
		return m.putDomain(*command.Domain)
	case command.Endpoint != nil:
		return m.putEndpoint(*command.Endpoint)
	case command.Team != nil:
		return m.putTeam(*command.Team)
	case command.Register != nil:
		return m.register(command.Register.Entry)
	case command.Dead != nil:
		return m.declareDead(command.Dead.Node)
	case command.Epoch != nil:
		return m.newEpoch(command.Epoch.Number)
	case command.Document != nil:
		return m.putDocument(*command.Document)
	case command.Drop != nil:
		return m.dropEpochs(command.Drop.UpTo)
	default:
		return m.handover(*command.Handover)
	}
}

// next returns the revision of the next change.
func (m *Machine) next() zinniasill.Revision {
	return m.catalog.Revision + 1
}

// accept applies a change to the catalog at the next revision.
func (m *Machine) accept(change catalog.Change) Result {
	if m.shared {
		m.catalog = m.catalog.Clone()
		m.shared = false
	}
	change.Revision = m.next()
	m.catalog.Apply(change)
	m.changes = append(m.changes, change)
	if len(m.changes) > m.limits.changes {
		m.changes = m.changes[1:]
	}
	return Result{Revision: change.Revision}
}

func (m *Machine) bury(node zinniasill.Node) {
	if _, ok := m.dead[node]; ok {
		return
	}
	m.dead[node] = struct{}{}
	m.deadOrder = append(m.deadOrder, node)
	if len(m.deadOrder) > m.limits.dead {
		delete(m.dead, m.deadOrder[0])
		m.deadOrder = m.deadOrder[1:]
	}
}

// eligible returns the agents that an epoch is made of, sorted by id.
func (m *Machine) eligible() []catalog.EpochMember {
	return m.catalog.EligibleAgents()
}
