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
	// acceptRetryDelay is the wait after a temporary error of the listener, such as a
	// lack of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
	// writeBufferSize is the initial size in bytes of the write buffer of a link, which
	// grows up to splitSize and does not shrink. It is small because a control replica
	// has two links per node, most of which carry only small messages.
	writeBufferSize = 4 << 10
	// splitSize is the size in bytes of the parts into which a large frame is split.
	splitSize = 16 << 10
)

// managerOptions returns the drpc options of both ends of a link.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferSize,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameSize},
		Stream:           drpcstream.Options{MaximumBufferSize: splitSize, SplitSize: splitSize},
	}
}

// accept accepts connections until ctx ends or the listener is closed.
func (t *Transport) accept(ctx context.Context) error {
	if t.cfg.Listener == nil {
		<-ctx.Done()
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = t.cfg.Listener.Close() })
	defer stop()
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
			t.sleep(ctx, acceptRetryDelay)
			continue
		}
		t.admit(ctx, raw)
	}
}

// admit serves an accepted connection, for which it closes another one at a limit.
func (t *Transport) admit(ctx context.Context, raw net.Conn) {
	c := newConn(raw, t.cfg.Clock, &t.traffic)
	account, err := openLinkAccount(t, hostOf(c), func() { _ = c.Close() })
	if err != nil {
		t.cfg.Counters.Inc("peer_refused_total", reasonMemory)
		_ = c.Close()
		return
	}
	c.account = account
	if victim := t.inbound.add(c); victim != nil {
		t.cfg.Counters.Inc("peer_refused_total", reasonTooMany)
		victim.evicted.Store(true)
		_ = victim.Close()
	}
	t.workers.Go(func() {
		defer account.close()
		defer t.inbound.remove(c)
		t.serve(ctx, c)
	})
}

// sleep waits for a duration or until ctx ends.
func (t *Transport) sleep(ctx context.Context, length time.Duration) {
	ticks, stop := t.cfg.Clock.NewTicker(max(length, time.Nanosecond))
	defer stop()
	select {
	case <-ctx.Done():
	case <-ticks:
	}
}

// serve receives on one accepted connection until it ends.
func (t *Transport) serve(ctx context.Context, c *conn) {
	if !t.track(ctx, c) {
		return
	}
	defer t.untrack(c)
	defer func() { _ = c.Close() }()
	in := &inbound{transport: t, conn: c}
	err := in.handshake(ctx)
	if err == nil {
		err = in.receive()
	}
	if in.stream != nil && isProtocolError(err) {
		_ = in.stream.SendError(err)
	}
	if ctx.Err() == nil && !c.evicted.Load() {
		t.countRefusal(c, err)
	}
	if in.manager != nil {
		_ = in.manager.Close()
	}
}

// countRefusal counts connections that end with a protocol error or before the hello, and
// reports them to Notify. All other ends of a link are normal and not counted here.
func (t *Transport) countRefusal(c *conn, err error) {
	reason := refusalReason(err)
	if reason == "" && !c.helloReceived.Load() {
		reason = reasonNoHello
	}
	if reason == "" {
		return
	}
	t.cfg.Counters.Inc("peer_refused_total", reason)
	t.cfg.Notify(LinkEvent{Address: c.RemoteAddr().String(), State: StateDown, Err: err})
}

// refusalReason returns the reason of a protocol or TLS error, and "" for other errors.
func refusalReason(err error) zinniasill.Reason {
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

// isProtocolError reports whether err is a *ProtocolError.
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
	// certifiedNode is the node authenticated by the peer's certificate, empty without
	// TLS.
	certifiedNode zinniasill.NodeID
}

// handshake performs the TLS handshake if TLS is enabled, accepts the stream and
// exchanges hellos.
func (i *inbound) handshake(ctx context.Context) error {
	t := i.transport
	link := drpcTransport{Reader: i.conn, Writer: i.conn, Closer: i.conn}
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
	if rpc != streamMethod {
		return &ProtocolError{Reason: reasonMethod, Message: "unknown drpc method"}
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
		return &ProtocolError{Reason: reasonWrongNode, Message: "hello is for another node, this is " + string(self.ID)}
	}
	if secure != nil {
		if err := t.cfg.Security.CheckPeer(secure.ConnectionState(), in.hello.From.ID); err != nil {
			return &ProtocolError{Reason: reasonIdentity, Message: err.Error()}
		}
		i.certifiedNode = in.hello.From.ID
	}
	t.recordHello(in.hello)
	i.conn.helloReceived.Store(true)
	i.conn.account.established()
	t.inbound.establish(i.conn)
	reply := frame{kind: frameHello, hello: hello{
		Version: message.Version,
		From:    self,
		To:      in.hello.From.ID,
		Address: t.cfg.Advertise,
	}}
	return stream.MsgSend(&reply, t.encoding)
}

// receive delivers envelopes and replies to pings until the link ends.
func (i *inbound) receive() error {
	t := i.transport
	in := frame{deliver: i.deliver, decoder: &decoder{codec: t.cfg.Codec}}
	pong := frame{kind: framePong}
	for {
		if err := i.stream.MsgRecv(&in, t.encoding); err != nil {
			return err
		}
		i.conn.account.complete()
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

// deliver drops envelopes whose sender is not the node authenticated by the certificate
// of the link, so that a node cannot impersonate another. The host of a stopped node's
// records may send in the name of that node.
func (i *inbound) deliver(env message.Envelope) {
	if i.certifiedNode != "" && env.From.ID != i.certifiedNode && i.transport.route(env.From) != i.certifiedNode {
		i.transport.countDropped(reasonWrongSender)
		return
	}
	i.transport.deliver(env)
}

// deliver passes an envelope to Config.Deliver, or drops it if it is from another
// cluster. The cluster id is empty in a process that has not joined a cluster, and in
// the envelopes that it sends.
func (t *Transport) deliver(env message.Envelope) {
	own := t.cfg.Cluster()
	if own != "" && env.Cluster != "" && own != env.Cluster {
		t.countDropped(reasonForeignCluster)
		return
	}
	t.received.Add(1)
	t.cfg.Deliver(env)
}
