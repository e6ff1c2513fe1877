package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/consensus"
	"zinniasill/io/operator"
)

// Ready returns an error while the replica has no known leader.
func (c *Control) Ready() error {
	status := c.Status()
	if status.Leader.ID == "" {
		return eris.Errorf("no leader is known (%s)", status.Phase)
	}
	return nil
}

// Stop transfers leadership to another replica if this one is the leader. If that takes
// longer than transferTimeout, it returns nil and the others elect a leader.
func (c *Control) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	err := c.loop.Do(ctx, c.transfer)
	if err != nil {
		return err
	}
	err = waitFor(ctx, c.cfg.Clock, c.loop, func() bool {
		status := c.replica.Status()
		return status.Role != consensus.Leader || len(status.Membership.Voters) < 2
	})
	if errors.Is(err, context.DeadlineExceeded) {
		// The other replicas elect a leader without a transfer.
		return nil
	}
	return err
}

func (c *Control) transfer(now time.Time) {
	for _, voter := range c.replica.Status().Membership.Voters {
		if voter.Name != c.cfg.Name && c.replica.Transfer(now, voter.Name) {
			return
		}
	}
}

// Members implements operator.Membership.
func (c *Control) Members(ctx context.Context) ([]operator.Member, error) {
	// The linearizable read ensures that the membership is not older than this call.
	if _, err := (operator.Replica{Loop: c.loop, Server: c.server}).Catalog(ctx); err != nil {
		return nil, err
	}
	status := c.Status()
	var members []operator.Member
	add := func(list []consensus.Member, voter bool) {
		for _, m := range list {
			members = append(members, operator.Member{
				Name: string(m.Name), Instance: strconv.FormatUint(uint64(m.Instance), 16),
				Address: m.Address, Voter: voter, Leader: m.Node() == status.Leader,
			})
		}
	}
	add(status.Membership.Voters, true)
	add(status.Membership.Learners, false)
	return members, nil
}

// ChangeMember implements operator.Membership. It succeeds only on the leader.
func (c *Control) ChangeMember(ctx context.Context, change operator.MemberChange) error {
	var result error
	name := zinniasill.NodeID(change.Name)
	err := c.loop.Do(ctx, func(now time.Time) {
		if change.Action == operator.ActionRemove {
			result = c.replica.Remove(now, name)
			return
		}
		result = c.replica.Admit(now, consensus.Member{Name: name, Address: change.Address})
	})
	if err != nil {
		return err
	}
	return memberError(result)
}

// memberError maps errors of the replicated log to errors of the operator interface. A
// change that is already in force succeeds, because a client may retry it after it has
// lost the reply.
func memberError(err error) error {
	switch {
	case err == nil, errors.Is(err, consensus.ErrKnownMember), errors.Is(err, consensus.ErrUnknownMember):
		return nil
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrChangePending):
		return &operator.Error{Status: http.StatusServiceUnavailable, Code: operator.CodeUnavailable, Message: err.Error()}
	default:
		return &operator.Error{Status: http.StatusConflict, Code: operator.CodeConflict, Message: err.Error()}
	}
}
