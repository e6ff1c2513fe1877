package localcluster

import "testing"

// TestPortBlocks guards against two programs that use the same port.
func TestPortBlocks(t *testing.T) {
	var one, other portBlock
	seen := map[string]bool{}
	for range 50 {
		seen[one.next()] = true
	}
	for range 50 {
		if address := other.next(); seen[address] {
			t.Errorf("%s was returned twice", address)
		}
	}
	for _, block := range []*portBlock{&one, &other} {
		if err := block.reservation.Close(); err != nil {
			t.Error(err)
		}
	}
}
