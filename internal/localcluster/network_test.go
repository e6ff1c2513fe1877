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

// arrival bounds the wait for bytes that a proxy must not drop, silence the wait
// for bytes that it must drop.
const (
	arrival = 5 * time.Second
	silence = 50 * time.Millisecond
)

// echo answers each byte that it receives with the same byte.
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

// dial connects and names the connecting process as a CBOR text, as a hello does.
func dial(t *testing.T, address, name string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if !answers(t, conn, append([]byte{0x60 + byte(len(name))}, name...), arrival) {
		t.Fatalf("the greeting of %s was lost", name)
	}
	return conn
}

// answers reports whether the echo of data arrives in time. The connection must
// stay open.
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

// TestNetworkCuts guards against a proxy that cuts other links than the ones asked
// for, closes a connection that is cut, or lets it speak again with bytes missing.
func TestNetworkCuts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		cut             func(*localcluster.Network)
		agent1, agent10 bool
	}{
		"nothing":              {cut: func(*localcluster.Network) {}, agent1: true, agent10: true},
		"one link":             {cut: func(n *localcluster.Network) { n.Cut("entry-1", "agent-1") }, agent10: true},
		"name with a prefix":   {cut: func(n *localcluster.Network) { n.Cut("agent-10", "entry-1") }, agent1: true},
		"all links":            {cut: func(n *localcluster.Network) { n.Cut("entry-1") }},
		"requests":             {cut: func(n *localcluster.Network) { n.Block("agent-1", "entry-1") }, agent10: true},
		"answers":              {cut: func(n *localcluster.Network) { n.Block("entry-1", "agent-1") }, agent10: true},
		"inward of the server": {cut: func(n *localcluster.Network) { n.Deafen("entry-1") }},
		"outward of a dialer":  {cut: func(n *localcluster.Network) { n.Mute("agent-10") }, agent1: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			network := &localcluster.Network{}
			defer network.Close()
			address := network.Through("entry-1", echo(t))
			network.Through("agent-1", echo(t))
			network.Through("agent-10", echo(t))
			if err := network.Err(); err != nil {
				t.Fatal(err)
			}
			tt.cut(network)
			network.Heal()
			want := map[string]bool{"agent-1": tt.agent1, "agent-10": tt.agent10}
			for name, passes := range want {
				conn := dial(t, address, name)
				tt.cut(network)
				wait := arrival
				if !passes {
					wait = silence
				}
				if got := answers(t, conn, []byte("x"), wait); got != passes {
					t.Errorf("bytes of %s pass: %t, want %t", name, got, passes)
				}
				network.Heal()
				if !passes && answers(t, conn, []byte("y"), silence) {
					t.Errorf("the connection of %s speaks again after it lost bytes", name)
				}
			}
		})
	}
}

// TestNetworkDelay guards against a delay that is not applied, or applied to each
// piece one after the other so that it limits the throughput.
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
	address := network.Through("entry-1", echo(t))
	network.Through("agent-1", echo(t))
	conn := dial(t, address, "agent-1")
	began := time.Now()
	if !answers(t, conn, make([]byte, 4<<20), arrival) {
		t.Fatal("the answer did not arrive")
	}
	if took := time.Since(began); took < delay {
		t.Errorf("the answer took %v, less than the delay of %v", took, delay)
	}
}

// TestNetworkReset guards against a reset that spares the connections of a process, or
// ends those of others.
func TestNetworkReset(t *testing.T) {
	t.Parallel()
	network := &localcluster.Network{}
	defer network.Close()
	address := network.Through("entry-1", echo(t))
	network.Through("agent-1", echo(t))
	network.Through("agent-10", echo(t))
	reset, spared := dial(t, address, "agent-1"), dial(t, address, "agent-10")
	for _, conn := range []net.Conn{reset, spared} {
		if !answers(t, conn, []byte("x"), arrival) {
			t.Fatal("no answer before the reset")
		}
	}
	network.Reset("agent-1")
	_ = reset.SetReadDeadline(time.Now().Add(arrival))
	if _, err := reset.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection that was reset: %v", err)
	}
	if !answers(t, spared, []byte("x"), arrival) {
		t.Error("another connection was ended")
	}
}

// TestNetworkOverlap guards against the end of one cut that ends another of the same
// direction, and against one that opens a direction that was cut again after Heal.
func TestNetworkOverlap(t *testing.T) {
	t.Parallel()
	network := &localcluster.Network{}
	defer network.Close()
	address := network.Through("entry-1", echo(t))
	network.Through("agent-1", echo(t))
	conn := dial(t, address, "agent-1")
	healed := network.Block("agent-1", "entry-1")
	network.Heal()
	cut, mute := network.Cut("agent-1", "entry-1"), network.Mute("agent-1")
	healed()
	cut()
	if answers(t, conn, []byte("x"), silence) {
		t.Error("the end of one cut ended the other")
	}
	mute()
	if !answers(t, dial(t, address, "agent-1"), []byte("x"), arrival) {
		t.Error("no answer after the end of both cuts")
	}
}
