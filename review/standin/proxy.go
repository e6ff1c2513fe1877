package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// proxy forwards channels to one address. It can reset them instead.
type proxy struct {
	address  string
	listener net.Listener
	resets   atomic.Bool
}

// newProxy starts a proxy for target on a free port of ip.
func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &proxy{address: listener.Addr().String(), listener: listener}
	go p.serve(target)
	return p, nil
}

func (p *proxy) serve(target string) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.resets.Load() {
			reset(conn)
			continue
		}
		go forward(conn, target)
	}
}

// reset ends a channel with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// forward copies a channel both ways until one side closes it.
func forward(conn net.Conn, target string) {
	defer func() { _ = conn.Close() }()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(out, conn)
		_ = out.Close()
	}()
	_, _ = io.Copy(conn, out)
}

func (p *proxy) close() {
	_ = p.listener.Close()
}
