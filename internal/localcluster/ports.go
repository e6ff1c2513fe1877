package localcluster

import (
	"fmt"
	"net"
	"sync"
)

// Ports lie below the ephemeral range that systems use for outgoing connections, so that
// a port stays free until its process listens. Each program that starts clusters reserves
// its own block of ports, so that programs running at the same time cannot collide.
const (
	firstPort  = 10_000
	blockPorts = 1_000
	blockCount = 20
)

// portBlock is a block of ports reserved for this program by listening on its first
// port for as long as the program runs.
type portBlock struct {
	mu          sync.Mutex
	reservation net.Listener
	first       int
	lastOffset  int // offset of the last returned port
}

var ports portBlock

// FreeAddress returns a loopback address with a port that is currently free and that no
// other program of this project takes.
func FreeAddress() string {
	return ports.next()
}

// next returns an address with a free port of the block, reserving a block first if
// necessary.
func (b *portBlock) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reservation == nil {
		b.reserve()
	}
	for {
		b.lastOffset = b.lastOffset%(blockPorts-1) + 1
		address := loopback(b.first + b.lastOffset)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// reserve reserves the first block that no other program holds.
func (b *portBlock) reserve() {
	for block := range blockCount {
		first := firstPort + block*blockPorts
		if reservation, err := net.Listen("tcp", loopback(first)); err == nil {
			b.reservation = reservation
			b.first = first
			return
		}
	}
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
