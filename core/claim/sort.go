package claim

import (
	"cmp"
	"slices"
)

// sortRegisters sorts registers by epoch, key and term, so that equal states have equal
// dumps.
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
