package node

import (
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
)

// follower hands each newer catalog of a keeper to a role once. It never goes back:
// after a new incarnation the keeper's catalog is empty until its first renewal.
type follower struct {
	keeper *LeaseRenewer
	log    logrus.FieldLogger
	seen   zinniasill.Revision
}

// newer returns the keeper's catalog if it is newer than all that were returned.
func (f *follower) newer() (*catalog.Catalog, bool) {
	if node, ok := f.keeper.TakeRestart(); ok {
		f.log.WithField("node", node).Info("continuing under a new incarnation")
	}
	cat := f.keeper.Catalog()
	if cat.Revision <= f.seen {
		return nil, false
	}
	f.seen = cat.Revision
	return cat, true
}
