package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
)

// handOver gives the agent's records to another agent and waits until control has
// listed it as their host. Without a serving agent the records are lost.
func (a *Agent) handOver(ctx context.Context) error {
	refused := map[zinniasill.Node]bool{}
	for {
		host, ok := chooseHost(a.keeper.Catalog(), a.keeper.Node(), a.cfg.Report.Domain, refused)
		if !ok {
			a.cfg.Log.Warn("no other agent serves; the records of this one are lost")
			return nil
		}
		taken, err := a.handOverTo(ctx, host)
		if err != nil {
			return eris.Wrapf(err, "hand over the records to %s", host)
		}
		if taken {
			a.cfg.Log.WithField("host", host).Info("records handed over")
			a.keeper.UpdateReport(func(entry *catalog.NodeEntry) { entry.Host = host })
			return waitFor(ctx, a.cfg.Clock, a.loop, a.keeper.HandedOver)
		}
		refused[host] = true
	}
}

// handOverTo waits until a host has taken or refused the records.
func (a *Agent) handOverTo(ctx context.Context, host zinniasill.Node) (taken bool, err error) {
	var fault error
	if err := a.loop.Do(ctx, func(now time.Time) { fault = a.machine.HandOver(now, host) }); err != nil {
		return false, err
	}
	if fault != nil {
		return false, fault
	}
	state := agent.HandoverPending
	alive := true
	err = waitFor(ctx, a.cfg.Clock, a.loop, func() bool {
		state = a.machine.HandoverState()
		alive = a.keeper.Catalog().Alive(host)
		return state != agent.HandoverPending || !alive
	})
	if err == nil && state == agent.HandoverPending {
		// The host may have the records, so that no other may get them.
		err = eris.New("the host was lost before it acknowledged them")
	}
	return state == agent.HandoverAccepted, err
}

// chooseHost returns the serving agent that follows self in the order of ids,
// one of the same failure domain if there is any. The order spreads the records
// of several agents.
func chooseHost(
	cat *catalog.Catalog, self zinniasill.Node, domain zinniasill.Domain, refused map[zinniasill.Node]bool,
) (zinniasill.Node, bool) {
	var hosts []catalog.NodeEntry
	for _, entry := range cat.Nodes {
		if entry.Role == catalog.RoleAgent && entry.Node.ID != self.ID && cat.Serving(entry) && !refused[entry.Node] {
			hosts = append(hosts, entry)
		}
	}
	if len(hosts) == 0 {
		return zinniasill.Node{}, false
	}
	rank := func(entry catalog.NodeEntry) int {
		rank := 0
		if entry.Domain != domain {
			rank += 2
		}
		if entry.Node.ID < self.ID {
			rank++
		}
		return rank
	}
	first := slices.MinFunc(hosts, func(x, y catalog.NodeEntry) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x.Node.ID, y.Node.ID))
	})
	return first.Node, true
}
