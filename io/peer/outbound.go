package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// backoffMin and backoffMax are the limits of the exponential back-off between two
	// attempts to open a link.
	backoffMin = 20 * time.Millisecond
	backoffMax = time.Second
	// dialTimeout limits one attempt to open a connection. A host that has just started
	// answers the next attempt at once, whereas the system would repeat the opening
	// packet of the first one a second later.
	dialTimeout = 250 * time.Millisecond
	// batchThreshold is the size in bytes of buffered envelopes at which a frame is
	// sent.
	batchThreshold = 64 << 10
	// maxRetainedBuffer is the capacity in bytes above which the encoding buffer is
	// released after a frame. After smallFrameThreshold consecutive frames that used
	// less than a quarter of it, a buffer is released if its capacity is above
	// smallBuffer bytes: most links carry a large frame only when they are new.
	maxRetainedBuffer   = 1 << 20
	smallBuffer         = 4 << 10
	smallFrameThreshold = 16
)

// outbound sends the queued envelopes for one peer.
type outbound struct {
	transport *Transport
	id        zinniasill.NodeID
	queue     *queue
	pingDue   atomic.Bool
	// conn is the connection of the link while it is up, nil otherwise.
	conn atomic.Pointer[conn]
	// reachable, of capacity 1, holds a value after the peer has opened a link to this
	// process.
	reachable chan struct{}
}

// run opens a link, and a new one after each that fails, until ctx ends or the queue is
// empty when a link or an attempt to open one has ended. It drops the queued envelopes
// if there has been no link for longer than UnreachableTimeout.
func (o *outbound) run(ctx context.Context) {
	clock := o.transport.cfg.Clock
	lastUp := clock.Now()
	wait := backoffMin
	for ctx.Err() == nil {
		up, err := o.runLink(ctx)
		if ctx.Err() != nil {
			return
		}
		if up {
			lastUp = clock.Now()
			wait = backoffMin
			o.transport.cfg.Counters.Inc("peer_links_ended_total", "")
		}
		if up || wait == backoffMin {
			o.transport.cfg.Notify(LinkEvent{Peer: o.id, State: StateDown, Err: err})
		}
		if clock.Now().Sub(lastUp) > o.transport.cfg.UnreachableTimeout {
			o.dropAll()
		}
		contacted := o.backOff(ctx, o.transport.random.between(wait/2, wait))
		if o.transport.removeIfIdle(o) {
			return
		}
		wait = min(2*wait, backoffMax)
		if contacted {
			wait = backoffMin
		}
	}
}

// backOff waits for a duration, until ctx ends, or until the peer has opened a link to this
// process, which it reports. A peer that has just started is thus reached at once, and not
// after the back-off that it has caused while it was down.
func (o *outbound) backOff(ctx context.Context, length time.Duration) (contacted bool) {
	ticks, stop := o.transport.cfg.Clock.NewTicker(max(length, time.Nanosecond))
	defer stop()
	select {
	case <-ctx.Done():
	case <-ticks:
	case <-o.reachable:
		return true
	}
	return false
}

// takeContact forgets that the peer has opened a link, because a link to it is up.
func (o *outbound) takeContact() {
	select {
	case <-o.reachable:
	default:
	}
}

// contact tells the back-off that the peer has opened a link to this process.
func (o *outbound) contact() {
	select {
	case o.reachable <- struct{}{}:
	default:
	}
}

// dropAll drops all queued envelopes.
func (o *outbound) dropAll() {
	for batch := o.queue.take(nil); len(batch) > 0; batch = o.queue.take(batch[:0]) {
		for range batch {
			o.transport.countDropped(reasonUnreachable)
		}
	}
}

// runLink opens one connection and sends on it until it ends. It reports whether the
// handshake succeeded.
func (o *outbound) runLink(ctx context.Context) (up bool, err error) {
	t := o.transport
	address, ok := t.resolve(o.id)
	if !ok {
		return false, eris.Errorf("no address for peer %s", o.id)
	}
	c, err := o.dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer t.untrack(c)
	defer func() { _ = c.Close() }()
	link := drpcTransport{Reader: c, Writer: c, Closer: c}
	if t.cfg.Security != nil {
		secure := tls.Client(c, t.cfg.Security.Client(o.id))
		if err := secure.HandshakeContext(ctx); err != nil {
			return false, eris.Wrapf(err, "TLS handshake with peer %s at %s", o.id, address)
		}
		link.Reader, link.Writer = secure, secure
	}
	client := drpcconn.NewWithOptions(link, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = client.Close() }()
	stream, err := o.handshake(ctx, client)
	if err != nil {
		return false, eris.Wrapf(err, "open a link to peer %s at %s", o.id, address)
	}
	c.helloReceived.Store(true)
	o.conn.Store(c)
	defer o.conn.Store(nil)
	o.takeContact()
	t.cfg.Notify(LinkEvent{Peer: o.id, Address: address, State: StateUp})
	return true, o.sendLoop(stream, c)
}

// dial opens a TCP connection to the peer and starts monitoring it.
func (o *outbound) dial(ctx context.Context, address string) (*conn, error) {
	t := o.transport
	dialer := net.Dialer{Timeout: min(dialTimeout, t.cfg.UnresponsiveTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", o.id)
	}
	c := newConn(raw, t.cfg.Clock, &t.traffic)
	c.sendPing = o.requestPing
	if !t.track(ctx, c) {
		return nil, eris.Wrap(ctx.Err(), "connect to a peer")
	}
	return c, nil
}

// handshake opens the stream and exchanges hellos.
func (o *outbound) handshake(ctx context.Context, client *drpcconn.Conn) (drpc.Stream, error) {
	t := o.transport
	stream, err := client.NewStream(ctx, streamMethod, t.encoding)
	if err != nil {
		return nil, err
	}
	out := frame{kind: frameHello, hello: hello{
		Version: message.Version,
		From:    t.cfg.Self(),
		To:      o.id,
		Address: t.cfg.Advertise,
	}}
	if err := stream.MsgSend(&out, t.encoding); err != nil {
		return nil, err
	}
	var in frame
	if err := stream.MsgRecv(&in, t.encoding); err != nil {
		return nil, err
	}
	if in.kind != frameHello || in.hello.From.ID != o.id {
		return nil, &ProtocolError{Reason: reasonWrongNode, Message: "answered by " + in.hello.From.String()}
	}
	return stream, nil
}

// sendLoop sends queued envelopes and requested pings until the link ends. A second
// goroutine reads pongs.
func (o *outbound) sendLoop(stream drpc.Stream, c *conn) error {
	var reader conc.WaitGroup
	defer reader.Wait()
	defer func() { _ = c.Close() }()
	failed := make(chan error, 1)
	reader.Go(func() {
		failed <- o.readPongs(stream)
		_ = c.Close()
	})
	writer := &batchWriter{out: o, stream: stream, encoder: encoder{codec: o.transport.cfg.Codec}}
	for {
		select {
		case err := <-failed:
			return err
		case <-o.queue.ready:
		}
		if o.pingDue.Swap(false) {
			if err := stream.MsgSend(&frame{kind: framePing}, o.transport.encoding); err != nil {
				return err
			}
		}
		if err := writer.sendQueued(); err != nil {
			return err
		}
	}
}

// readPongs receives frames until the link ends. The connection records the time of
// each.
func (o *outbound) readPongs(stream drpc.Stream) error {
	var in frame
	for {
		if err := stream.MsgRecv(&in, o.transport.encoding); err != nil {
			return err
		}
	}
}

// requestPing makes sendLoop send a ping.
func (o *outbound) requestPing() {
	o.pingDue.Store(true)
	o.queue.signal()
}

// batchWriter encodes batches of envelopes into frames and sends them.
type batchWriter struct {
	out     *outbound
	stream  drpc.Stream
	encoder encoder
	batch   []message.Envelope
	buf     bytes.Buffer
	frame   frame
	// smallFrames counts consecutive frames that used less than a quarter of buf.
	smallFrames int
}

// sendQueued sends one batch of queued envelopes. It leaves the rest of a long queue for
// the next call, so that pings are not delayed.
func (w *batchWriter) sendQueued() error {
	w.batch = w.out.queue.take(w.batch[:0])
	defer clear(w.batch)
	for sent, env := range w.batch {
		if err := w.appendEnvelope(env); err != nil {
			for range w.batch[sent:] {
				w.out.transport.countDropped(reasonLinkLost)
			}
			return err
		}
	}
	if w.out.queue.size() > 0 {
		w.out.queue.signal()
	}
	return w.flush()
}

// appendEnvelope encodes an envelope into buf, and sends the buffer once it has reached
// batchThreshold. An envelope that cannot be encoded or exceeds the size of a frame is
// dropped.
func (w *batchWriter) appendEnvelope(env message.Envelope) error {
	t := w.out.transport
	start := w.buf.Len()
	if err := w.encoder.encode(&w.buf, env); err != nil {
		w.buf.Truncate(start)
		t.countDropped(reasonUnregistered)
		return nil
	}
	size := w.buf.Len() - start
	if size >= MaxFrameSize {
		w.buf.Truncate(start)
		t.countDropped(reasonOversized)
		return nil
	}
	w.encoder.commit()
	t.sent.Add(1)
	if w.buf.Len() < batchThreshold {
		return nil
	}
	return w.flushSplit(start)
}

// flushSplit sends the buffer as one frame, or as two split at offset start if it
// exceeds the size of one.
func (w *batchWriter) flushSplit(start int) error {
	if w.buf.Len() < MaxFrameSize || start == 0 {
		return w.flush()
	}
	if err := w.send(w.buf.Bytes()[:start]); err != nil {
		return err
	}
	w.buf.Next(start)
	return w.flush()
}

// flush sends the buffer as one frame and releases the buffer if it is too large.
func (w *batchWriter) flush() error {
	if w.buf.Len() == 0 {
		return nil
	}
	err := w.send(w.buf.Bytes())
	w.smallFrames++
	if w.buf.Len() >= w.buf.Cap()/4 {
		w.smallFrames = 0
	}
	w.buf.Reset()
	if w.buf.Cap() > maxRetainedBuffer || (w.smallFrames >= smallFrameThreshold && w.buf.Cap() > smallBuffer) {
		w.buf = bytes.Buffer{}
	}
	return err
}

// send sends one frame of encoded envelopes.
func (w *batchWriter) send(encoded []byte) error {
	t := w.out.transport
	t.frames.Add(1)
	w.frame = frame{kind: frameEnvelopes, encoded: encoded}
	return w.stream.MsgSend(&w.frame, t.encoding)
}
