package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/operator"
)

// maxConflicts bounds how often a change of a failure domain is tried again after
// another one was first.
const maxConflicts = 8

// PutDocument stores a whole configuration under a version. It returns when the
// document, or one of a version that is not lower, is in force.
func (c *Control) PutDocument(ctx context.Context, version zinniasill.DocumentVersion, content []byte) error {
	digest := sha256.Sum256(content)
	result, err := c.configuration().Propose(ctx, control.Command{
		Request:  control.RequestID(fmt.Sprintf("document-%d-%x", version, digest[:16])),
		Document: &control.PutDocument{Version: version, Content: content},
	})
	if err != nil {
		return err
	}
	return refused(result)
}

// Document returns the newest document. Its version is 0 if there is none.
func (c *Control) Document(ctx context.Context) (catalog.Document, error) {
	cat, err := c.configuration().Catalog(ctx)
	if err != nil {
		return catalog.Document{}, err
	}
	return cat.Document, nil
}

// SetDomain takes a failure domain out of service or returns it.
func (c *Control) SetDomain(ctx context.Context, name zinniasill.Domain, state catalog.DomainState) error {
	for range maxConflicts {
		cat, err := c.configuration().Catalog(ctx)
		if err != nil {
			return err
		}
		current := cat.Domains[name]
		if current.State == state || current.State == "" && state == catalog.DomainInService {
			return nil
		}
		result, err := c.configuration().Propose(ctx, control.Command{
			Request: control.RequestID("domain-" + strconv.FormatUint(uint64(NewIncarnation()), 16)),
			Domain:  &control.PutDomain{Base: current.Revision, Name: name, State: state},
		})
		if err != nil {
			return err
		}
		if result.Code != control.CodeConflict {
			return refused(result)
		}
	}
	return eris.Errorf("other changes of failure domain %s were first %d times", name, maxConflicts)
}

func (c *Control) configuration() operator.Replica {
	return operator.Replica{Loop: c.loop, Server: c.server}
}

// refused returns the error for a command that was not applied.
func refused(result control.Result) error {
	switch {
	case len(result.Findings) > 0:
		return result.Findings
	case result.Code != "":
		return eris.Errorf("refused with %s", result.Code)
	default:
		return nil
	}
}
