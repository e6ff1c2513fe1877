package claim

import (
	"cmp"
	"slices"
)

// sortRegisters makes a dump independent of the order of a map.
func sortRegisters(registers []RegisterState) {
	slices.SortFunc(registers, func(a, b RegisterState) int {
		x, y := a.Register, b.Register
		return cmp.Or(
			cmp.Compare(x.Epoch, y.Epoch),
			cmp.Compare(x.Key.Team, y.Key.Team),
			cmp.Compare(x.Key.Client, y.Key.Client),
			cmp.Compare(x.Term, y.Term),
		)
	})
}
