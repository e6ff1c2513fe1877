package localcluster_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"zinniasill/internal/localcluster"
)

const (
	// arrivalTimeout bounds the wait for bytes that a proxy must forward.
	arrivalTimeout = 5 * time.Second
	// dropTimeout is the wait for bytes that a proxy must drop.
	dropTimeout = 50 * time.Millisecond
)

// echo starts a server that echoes what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// dial connects and sends the name of the connecting process as a CBOR text, as a hello
// message does.
func dial(t *testing.T, address, name string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if !answers(t, conn, append([]byte{0x60 + byte(len(name))}, name...), arrivalTimeout) {
		t.Fatalf("the hello of %s was not echoed", name)
	}
	return conn
}

// answers reports whether the echo of data arrives within wait. It fails the test if
// the connection is closed.
func answers(t *testing.T, conn net.Conn, data []byte, wait time.Duration) bool {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(conn, make([]byte, len(data)))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

// TestNetworkBlocks guards against a proxy that blocks links other than the requested
// ones, closes a blocked connection, or resumes forwarding after bytes were lost.
func TestNetworkBlocks(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		block           func(*localcluster.Network)
		agent1, agent10 bool
	}{
		"nothing":                     {block: func(*localcluster.Network) {}, agent1: true, agent10: true},
		"one link":                    {block: func(n *localcluster.Network) { n.Partition("entry-1", "agent-1") }, agent10: true},
		"name with another as prefix": {block: func(n *localcluster.Network) { n.Partition("agent-10", "entry-1") }, agent1: true},
		"all links":                   {block: func(n *localcluster.Network) { n.Partition("entry-1") }},
		"requests":                    {block: func(n *localcluster.Network) { n.Block("agent-1", "entry-1") }, agent10: true},
		"answers":                     {block: func(n *localcluster.Network) { n.Block("entry-1", "agent-1") }, agent10: true},
		"to the server":               {block: func(n *localcluster.Network) { n.BlockInbound("entry-1") }},
		"from a dialer":               {block: func(n *localcluster.Network) { n.BlockOutbound("agent-10") }, agent1: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			network := &localcluster.Network{}
			defer network.Close()
			address := network.Proxy("entry-1", echo(t))
			network.Proxy("agent-1", echo(t))
			network.Proxy("agent-10", echo(t))
			if err := network.Err(); err != nil {
				t.Fatal(err)
			}
			tt.block(network)
			network.RestoreAll()
			want := map[string]bool{"agent-1": tt.agent1, "agent-10": tt.agent10}
			for name, passes := range want {
				conn := dial(t, address, name)
				tt.block(network)
				wait := arrivalTimeout
				if !passes {
					wait = dropTimeout
				}
				if got := answers(t, conn, []byte("x"), wait); got != passes {
					t.Errorf("bytes of %s pass: %t, want %t", name, got, passes)
				}
				network.RestoreAll()
				if !passes && answers(t, conn, []byte("y"), dropTimeout) {
					t.Errorf("the connection of %s forwards bytes again after it lost some", name)
				}
			}
		})
	}
}

// TestNetworkDelay guards against a delay that is not applied, or that is applied to
// the chunks of a stream one after the other and so limits the throughput.
func TestNetworkDelay(t *testing.T) {
	t.Parallel()
	const delay = 100 * time.Millisecond
	network := &localcluster.Network{Delay: func(from, to string) time.Duration {
		if from == "agent-1" && to == "entry-1" {
			return delay
		}
		return 0
	}}
	defer network.Close()
	address := network.Proxy("entry-1", echo(t))
	network.Proxy("agent-1", echo(t))
	conn := dial(t, address, "agent-1")
	began := time.Now()
	if !answers(t, conn, make([]byte, 4<<20), arrivalTimeout) {
		t.Fatal("the answer did not arrive")
	}
	if took := time.Since(began); took < delay {
		t.Errorf("the answer took %v, less than the delay of %v", took, delay)
	}
}

// TestNetworkReset guards against a reset that leaves connections of the process open,
// or closes those of others.
func TestNetworkReset(t *testing.T) {
	t.Parallel()
	network := &localcluster.Network{}
	defer network.Close()
	address := network.Proxy("entry-1", echo(t))
	network.Proxy("agent-1", echo(t))
	network.Proxy("agent-10", echo(t))
	reset, spared := dial(t, address, "agent-1"), dial(t, address, "agent-10")
	for _, conn := range []net.Conn{reset, spared} {
		if !answers(t, conn, []byte("x"), arrivalTimeout) {
			t.Fatal("no answer before the reset")
		}
	}
	network.Reset("agent-1")
	_ = reset.SetReadDeadline(time.Now().Add(arrivalTimeout))
	if _, err := reset.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from the reset connection: %v, want ECONNRESET", err)
	}
	if !answers(t, spared, []byte("x"), arrivalTimeout) {
		t.Error("the connection of another process was closed")
	}
}

// TestNetworkOverlap guards against a restore function that ends another block of the
// same direction, including one that was added after RestoreAll.
func TestNetworkOverlap(t *testing.T) {
	t.Parallel()
	network := &localcluster.Network{}
	defer network.Close()
	address := network.Proxy("entry-1", echo(t))
	network.Proxy("agent-1", echo(t))
	conn := dial(t, address, "agent-1")
	restoreBlock := network.Block("agent-1", "entry-1")
	network.RestoreAll()
	restorePartition, restoreOutbound := network.Partition("agent-1", "entry-1"), network.BlockOutbound("agent-1")
	restoreBlock()
	restorePartition()
	if answers(t, conn, []byte("x"), dropTimeout) {
		t.Error("restoring one block ended another")
	}
	restoreOutbound()
	if !answers(t, dial(t, address, "agent-1"), []byte("x"), arrivalTimeout) {
		t.Error("no answer after both blocks were restored")
	}
}
