package localcluster

import "testing"

// TestPortBlocks guards against two programs that hand out the same port.
func TestPortBlocks(t *testing.T) {
	var one, other portBlock
	handed := map[string]bool{}
	for range 50 {
		handed[one.next()] = true
	}
	for range 50 {
		if address := other.next(); handed[address] {
			t.Errorf("%s was handed out twice", address)
		}
	}
	for _, block := range []*portBlock{&one, &other} {
		if err := block.guard.Close(); err != nil {
			t.Error(err)
		}
	}
}
