package control

import (
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
)

// limits bounds the state of a machine.
type limits struct {
	// requests bounds the request ids whose results are retained.
	requests int
	// dead bounds the incarnations that are recorded as dead.
	dead int
	// changes bounds the retained catalog changes. A node that lacks more than these
	// gets the full catalog.
	changes int
}

// defaultLimits hold the request ids of nearly two days at 4,300 changes a day, and the
// dead incarnations of 177 days at 370 restarts a day.
var defaultLimits = limits{requests: 8192, dead: 65536, changes: 4096}

// Code is the reason why a command was refused. It is empty when the command was
// applied.
type Code string

// Values of Code.
const (
	// CodeConflict means that the base of the command is not the object's revision.
	CodeConflict Code = "revision-conflict"
	// CodeInvalid means that validation of the command has findings.
	CodeInvalid Code = "invalid"
	// CodeRequestReused means that the request id was used for another command.
	CodeRequestReused Code = "request-reused"
	// CodeDeadIncarnation means that the incarnation was declared dead.
	CodeDeadIncarnation Code = "dead-incarnation"
	// CodeNoHost means that the host of a handover is not a live agent.
	CodeNoHost Code = "no-host"
	// CodeEpochRefused means that a new epoch does not follow the current one or has no
	// members, or that the current epoch was to be dropped.
	CodeEpochRefused Code = "epoch-refused"
)

// Result is the result of a command.
type Result struct {
	Code Code `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the object after the command, 0 when it does not
	// exist. After a conflict it is the current revision.
	Revision zinniasill.Revision `cbor:"2,keyasint,omitempty"`
	Findings FindingErrors       `cbor:"3,keyasint,omitempty"`
	// Err means that the entry could not be decoded and nothing was applied. The
	// replica must stop, because other replicas may have applied the entry.
	Err error `cbor:"-"`
}

// ErrAlreadyApplied is returned for an entry at or before the last applied index.
var ErrAlreadyApplied = eris.New("entry was already applied")

// requestResult is the retained result of a request id. Digest is the hash of the
// encoded command.
type requestResult struct {
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
	// catalogShared is true when Catalog has returned the catalog, which must then be
	// copied before a change.
	catalogShared bool
	changes       []catalog.Change

	requests map[RequestID]requestResult
	// requestOrder holds the ids of requests, oldest first; deadOrder likewise.
	requestOrder []RequestID
	dead         map[zinniasill.Node]struct{}
	deadOrder    []zinniasill.Node
}

// New returns a machine with an empty configuration.
func New() *Machine {
	return &Machine{
		limits:   defaultLimits,
		catalog:  catalog.New(),
		requests: map[RequestID]requestResult{},
		dead:     map[zinniasill.Node]struct{}{},
	}
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 {
	return m.applied
}

// Catalog returns the current configuration. The caller must not modify it, and later
// commands do not change it.
func (m *Machine) Catalog() *catalog.Catalog {
	m.catalogShared = true
	return m.catalog
}

// Dead reports whether an incarnation was declared dead, replaced or handed over.
func (m *Machine) Dead(node zinniasill.Node) bool {
	_, ok := m.dead[node]
	return ok
}

// ChangesSince returns the changes after a revision, or false when they are no longer
// retained and the full catalog is needed.
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

// Advance records that an entry without a command, such as a membership change of the
// control replicas, was committed at index.
func (m *Machine) Advance(index uint64) {
	m.applied = max(m.applied, index)
}

// Apply applies the entry at index. Entries must be applied in order; indexes may be
// skipped where the log has entries without a command. A repeated request id gets the
// retained result.
func (m *Machine) Apply(index uint64, data []byte) Result {
	if index <= m.applied {
		return Result{Err: eris.Wrapf(ErrAlreadyApplied, "apply entry %d, last applied is %d", index, m.applied)}
	}
	command, err := Decode(data)
	if err != nil {
		return Result{Err: eris.Wrapf(err, "apply entry %d", index)}
	}
	m.applied = index
	if !command.fromOperator() {
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
	// The result of an invalid request id is not retained: its length has no bound.
	if command.Request != "" && len(command.Request) <= MaxRequestIDLength {
		m.rememberRequest(requestResult{ID: command.Request, Digest: digest, Result: result})
	}
	return result
}

// rememberRequest retains the result of a request and drops the oldest one at the limit.
func (m *Machine) rememberRequest(req requestResult) {
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

// nextRevision returns the revision that the next change will have.
func (m *Machine) nextRevision() zinniasill.Revision {
	return m.catalog.Revision + 1
}

// applyChange applies a change to the catalog at the next revision.
func (m *Machine) applyChange(change catalog.Change) Result {
	if m.catalogShared {
		m.catalog = m.catalog.Clone()
		m.catalogShared = false
	}
	change.Revision = m.nextRevision()
	m.catalog.Apply(change)
	m.changes = append(m.changes, change)
	if len(m.changes) > m.limits.changes {
		m.changes = m.changes[1:]
	}
	return Result{Revision: change.Revision}
}

// markDead records that an incarnation is dead and drops the oldest record at the limit.
func (m *Machine) markDead(node zinniasill.Node) {
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

// eligibleAgents returns the agents that a new epoch would have as members, sorted by
// id.
func (m *Machine) eligibleAgents() []catalog.EpochMember {
	return m.catalog.EligibleAgents()
}
