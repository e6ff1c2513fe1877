package localcluster

import (
	"fmt"
	"net"
	"sync"
)

// Ports are taken from below the range that systems use for outgoing
// connections, so that a port stays free until its process listens. Each program
// that starts clusters has a block of ports of its own, so that two that run at the
// same time never take each other's.
const (
	firstPort  = 10_000
	blockPorts = 1_000
	blockCount = 20
)

// portBlock is a block of ports. Its first port is listened on for as long as the
// program runs, which keeps other programs away.
type portBlock struct {
	mu    sync.Mutex
	guard net.Listener
	first int
	last  int // the offset of the port that was handed out last
}

var ports portBlock

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress() string {
	return ports.next()
}

func (b *portBlock) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.guard == nil {
		b.claim()
	}
	for {
		b.last = b.last%(blockPorts-1) + 1
		address := loopback(b.first + b.last)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// claim takes the first block that no other program has.
func (b *portBlock) claim() {
	for block := range blockCount {
		first := firstPort + block*blockPorts
		if guard, err := net.Listen("tcp", loopback(first)); err == nil {
			b.guard = guard
			b.first = first
			return
		}
	}
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
