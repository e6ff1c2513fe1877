package node

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill/core/consensus"
	"zinniasill/core/message"
)

// applyStatus stores a changed status of the replica, passes it to the server and logs
// it.
func (c *Control) applyStatus(now time.Time, status consensus.Status) {
	before := c.Status()
	c.status.Store(&status)
	if status.Cluster != before.Cluster {
		c.server.SetCluster(status.Cluster)
	}
	if !slices.Equal(status.Membership.Voters, before.Membership.Voters) {
		c.server.SetReplicas(replicas(status.Membership))
		c.cfg.Log.WithFields(logrus.Fields{
			"voters": voterNames(status.Membership), "size": status.Membership.Size, "term": uint64(status.Term),
		}).Info("control voters changed")
	}
	c.server.SetLeader(now, status.Leader)
	if status.Role != before.Role || status.Leader != before.Leader || status.Phase != before.Phase {
		c.cfg.Log.WithFields(logrus.Fields{
			"role": status.Role.String(), "leader": status.Leader.ID, "term": uint64(status.Term),
			"phase": string(status.Phase), "cluster": status.Cluster,
		}).Info("control replica status changed")
	}
	if status.Obstacle != "" && status.Obstacle != before.Obstacle {
		c.cfg.Log.WithField("obstacle", status.Obstacle).Warn("control replica cannot form or join a cluster")
	}
	if status.Fault != nil {
		c.fail(eris.Wrap(status.Fault, "replicated log"))
	}
}

// voterNames returns the names of the voting members, separated by spaces.
func voterNames(membership consensus.Membership) string {
	var names []string
	for _, member := range membership.Voters {
		names = append(names, string(member.Name))
	}
	return strings.Join(names, " ")
}

// replicas returns the voting members, as nodes are told about them.
func replicas(membership consensus.Membership) []message.Replica {
	list := make([]message.Replica, 0, len(membership.Voters))
	for _, member := range membership.Voters {
		list = append(list, message.Replica{ID: member.Name, Address: member.Address})
	}
	return list
}
