package node

import (
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
)

// catalogWatcher returns each newer catalog of a lease renewer once. It skips the empty
// catalog that a new incarnation has until its first renewal, so that a role keeps its
// configuration in the meantime.
type catalogWatcher struct {
	renewer      *LeaseRenewer
	log          logrus.FieldLogger
	lastRevision zinniasill.Revision
}

// next returns the renewer's catalog if it is newer than all catalogs returned before.
func (w *catalogWatcher) next() (*catalog.Catalog, bool) {
	if node, ok := w.renewer.TakeRestart(); ok {
		w.log.WithField("node", node).Info("continuing under a new incarnation")
	}
	cat := w.renewer.Catalog()
	if cat.Revision <= w.lastRevision {
		return nil, false
	}
	w.lastRevision = cat.Revision
	return cat, true
}
