package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// maxGreeting bounds the accepted connections that have not sent their hello.
	maxGreeting = 256
	// acceptPause follows a temporary error of the listener, such as a process out
	// of file descriptors.
	acceptPause = 100 * time.Millisecond
	// writeBuffer is the first size of the buffer of a link that is written from. It
	// grows to hold splitSize and does not shrink. A control replica has two links
	// for each node, most of which carry small messages only.
	writeBuffer = 4 << 10
	// splitSize is the size of the parts that a large frame is written in.
	splitSize = 16 << 10
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBuffer,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameSize},
		Stream:           drpcstream.Options{MaximumBufferSize: splitSize, SplitSize: splitSize},
	}
}

// accept serves the listener until ctx ends.
func (t *Transport) accept(ctx context.Context) error {
	if t.cfg.Listener == nil {
		<-ctx.Done()
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = t.cfg.Listener.Close() })
	defer stop()
	greeting := make(chan struct{}, maxGreeting)
	for {
		raw, err := t.cfg.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = raw.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept links from peers")
		case err != nil:
			t.cfg.Counters.Inc("peer_accept_errors_total", "")
			t.pause(ctx, acceptPause)
			continue
		}
		select {
		case greeting <- struct{}{}:
			t.tasks.Go(func() { t.serve(ctx, raw, func() { <-greeting }) })
		default:
			t.cfg.Counters.Inc("peer_refused_total", reasonTooMany)
			_ = raw.Close()
		}
	}
}

// pause waits for the time given or the end of ctx.
func (t *Transport) pause(ctx context.Context, length time.Duration) {
	ticks, stop := t.cfg.Clock.NewTicker(max(length, time.Nanosecond))
	defer stop()
	select {
	case <-ctx.Done():
	case <-ticks:
	}
}

// serve receives on one accepted connection until it ends. It calls greeted once,
// when the other side's hello was accepted or the connection has ended.
func (t *Transport) serve(ctx context.Context, raw net.Conn, greeted func()) {
	c := newConn(raw, t.cfg.Clock, &t.traffic)
	if !t.track(ctx, c) {
		greeted()
		return
	}
	defer t.forget(c)
	defer func() { _ = c.Close() }()
	in := &inbound{transport: t, conn: c}
	err := in.greet(ctx)
	greeted()
	if err == nil {
		err = in.receive()
	}
	if in.stream != nil && isProtocolError(err) {
		_ = in.stream.SendError(err)
	}
	if ctx.Err() == nil {
		t.countRefusal(c, err)
	}
	if in.manager != nil {
		_ = in.manager.Close()
	}
}

// countRefusal counts protocol errors, and all connections that end before the
// hello. Other ends are part of the life of a link.
func (t *Transport) countRefusal(c *conn, err error) {
	reason := refusal(err)
	if reason == "" && !c.greeted.Load() {
		reason = reasonNoHello
	}
	if reason == "" {
		return
	}
	t.cfg.Counters.Inc("peer_refused_total", reason)
	t.cfg.Notify(LinkEvent{Address: c.RemoteAddr().String(), State: StateDown, Err: err})
}

// refusal returns the reason of a protocol error, and "" for other errors.
func refusal(err error) zinniasill.Reason {
	var protocol *ProtocolError
	var record tls.RecordHeaderError
	var certificate *tls.CertificateVerificationError
	switch {
	case errors.As(err, &protocol):
		return protocol.Reason
	case drpc.ProtocolError.Has(err):
		return reasonProtocol
	case errors.As(err, &record) || errors.As(err, &certificate):
		return reasonTLS
	}
	return ""
}

func isProtocolError(err error) bool {
	var protocol *ProtocolError
	return errors.As(err, &protocol)
}

// inbound is one accepted link.
type inbound struct {
	transport *Transport
	conn      *conn
	manager   *drpcmanager.Manager
	stream    *drpcstream.Stream
	// checked is the node that the certificate names, empty without TLS.
	checked zinniasill.NodeID
}

// greet accepts the stream and exchanges hellos.
func (i *inbound) greet(ctx context.Context) error {
	t := i.transport
	link := wire{Reader: i.conn, Writer: i.conn, Closer: i.conn}
	var secure *tls.Conn
	if t.cfg.Security != nil {
		secure = tls.Server(i.conn, t.cfg.Security.Server())
		if err := secure.HandshakeContext(ctx); err != nil {
			return eris.Wrap(err, "TLS handshake with an accepted peer")
		}
		link.Reader, link.Writer = secure, secure
	}
	i.manager = drpcmanager.NewWithOptions(link, managerOptions())
	stream, rpc, err := i.manager.NewServerStream(ctx)
	if err != nil {
		return fmt.Errorf("accept the stream of a peer: %w", err)
	}
	i.stream = stream
	if rpc != method {
		return &ProtocolError{Reason: reasonMethod, Message: "unknown method"}
	}
	var in frame
	if err := stream.MsgRecv(&in, t.encoding); err != nil {
		return err
	}
	self := t.cfg.Self()
	switch {
	case in.kind != frameHello:
		return &ProtocolError{Reason: reasonNoHello, Message: "the first frame is not a hello"}
	case in.hello.To != self.ID:
		return &ProtocolError{Reason: reasonWrongNode, Message: "this is " + string(self.ID)}
	}
	if secure != nil {
		if err := t.cfg.Security.CheckPeer(secure.ConnectionState(), in.hello.From.ID); err != nil {
			return &ProtocolError{Reason: reasonIdentity, Message: err.Error()}
		}
		i.checked = in.hello.From.ID
	}
	t.learn(in.hello)
	i.conn.greeted.Store(true)
	answer := frame{kind: frameHello, hello: hello{
		Version: message.Version,
		From:    self,
		To:      in.hello.From.ID,
		Address: t.cfg.Advertise,
	}}
	return stream.MsgSend(&answer, t.encoding)
}

// receive delivers envelopes and answers pings until the link ends.
func (i *inbound) receive() error {
	t := i.transport
	in := frame{deliver: i.deliver, decoder: &decoder{codec: t.cfg.Codec}}
	pong := frame{kind: framePong}
	for {
		if err := i.stream.MsgRecv(&in, t.encoding); err != nil {
			return err
		}
		switch in.kind {
		case frameEnvelopes:
		case framePing:
			if err := i.stream.MsgSend(&pong, t.encoding); err != nil {
				return err
			}
		default:
			return &ProtocolError{Reason: reasonMalformed, Message: "unexpected frame after the hello"}
		}
	}
}

// deliver drops envelopes that carry another sender than the certificate of the
// link, so that a node cannot pose as another. The host of a node's records answers
// in that node's name.
func (i *inbound) deliver(env message.Envelope) {
	if i.checked != "" && env.From.ID != i.checked && i.transport.route(env.From) != i.checked {
		i.transport.drop(reasonWrongSender)
		return
	}
	i.transport.deliver(env)
}

// deliver hands on an envelope of this cluster. A process that has not joined a
// cluster, and the messages it sends, have an empty id.
func (t *Transport) deliver(env message.Envelope) {
	own := t.cfg.Cluster()
	if own != "" && env.Cluster != "" && own != env.Cluster {
		t.drop(reasonForeignCluster)
		return
	}
	t.received.Add(1)
	t.cfg.Deliver(env)
}
