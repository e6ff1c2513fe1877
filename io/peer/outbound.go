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
	// backoffMin and backoffMax bound the wait between two attempts to open a link.
	backoffMin = 20 * time.Millisecond
	backoffMax = time.Second
	// batchBytes is the size at which a frame of several envelopes is sent.
	batchBytes = 64 << 10
	// bufferKept is the highest capacity of the encoding buffer that is kept, and
	// bufferSmall that which is kept when smallFrames frames in a row took less than a
	// quarter of it. Most links carry a large frame only when they are new.
	bufferKept  = 1 << 20
	bufferSmall = 4 << 10
	smallFrames = 16
)

// outbound is the sending side for one peer.
type outbound struct {
	transport *Transport
	id        zinniasill.NodeID
	queue     *queue
	pingDue   atomic.Bool
}

// run opens links while envelopes wait, until ctx ends, no envelope waits or the
// peer has been unreachable for too long.
func (o *outbound) run(ctx context.Context) {
	clock := o.transport.cfg.Clock
	lastUp := clock.Now()
	wait := backoffMin
	for ctx.Err() == nil {
		up, err := o.link(ctx)
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
		o.transport.pause(ctx, o.transport.random.between(wait/2, wait))
		if o.transport.remove(o) {
			return
		}
		wait = min(2*wait, backoffMax)
	}
}

func (o *outbound) dropAll() {
	for batch := o.queue.take(nil); len(batch) > 0; batch = o.queue.take(batch[:0]) {
		for range batch {
			o.transport.drop(reasonUnreachable)
		}
	}
}

// link opens one connection and sends on it until it ends. It reports whether the
// other side's hello has arrived.
func (o *outbound) link(ctx context.Context) (up bool, err error) {
	t := o.transport
	address, ok := t.resolve(o.id)
	if !ok {
		return false, eris.Errorf("no address known for peer %s", o.id)
	}
	c, err := o.dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer t.forget(c)
	defer func() { _ = c.Close() }()
	link := wire{Reader: c, Writer: c, Closer: c}
	if t.cfg.Security != nil {
		secure := tls.Client(c, t.cfg.Security.Client(o.id))
		if err := secure.HandshakeContext(ctx); err != nil {
			return false, eris.Wrapf(err, "TLS handshake with peer %s at %s", o.id, address)
		}
		link.Reader, link.Writer = secure, secure
	}
	client := drpcconn.NewWithOptions(link, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = client.Close() }()
	stream, err := o.greet(ctx, client)
	if err != nil {
		return false, eris.Wrapf(err, "open a link to peer %s at %s", o.id, address)
	}
	c.greeted.Store(true)
	t.cfg.Notify(LinkEvent{Peer: o.id, Address: address, State: StateUp})
	return true, o.exchange(stream, c)
}

func (o *outbound) dial(ctx context.Context, address string) (*conn, error) {
	t := o.transport
	dialer := net.Dialer{Timeout: t.cfg.UnresponsiveTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", o.id)
	}
	c := newConn(raw, t.cfg.Clock, &t.traffic)
	c.onPing = o.ping
	if !t.track(ctx, c) {
		return nil, eris.Wrap(ctx.Err(), "connect to a peer")
	}
	return c, nil
}

// greet opens the stream and exchanges hellos.
func (o *outbound) greet(ctx context.Context, client *drpcconn.Conn) (drpc.Stream, error) {
	t := o.transport
	stream, err := client.NewStream(ctx, method, t.encoding)
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

// exchange sends what waits until the link ends, and reads pongs beside it.
func (o *outbound) exchange(stream drpc.Stream, c *conn) error {
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
		if err := writer.drain(); err != nil {
			return err
		}
	}
}

func (o *outbound) readPongs(stream drpc.Stream) error {
	var in frame
	for {
		if err := stream.MsgRecv(&in, o.transport.encoding); err != nil {
			return err
		}
	}
}

// ping has a ping sent by the goroutine that writes.
func (o *outbound) ping() {
	o.pingDue.Store(true)
	o.queue.wake()
}

// batchWriter encodes envelopes into frames.
type batchWriter struct {
	out     *outbound
	stream  drpc.Stream
	encoder encoder
	batch   []message.Envelope
	buf     bytes.Buffer
	frame   frame
	// small counts the frames in a row that left most of buf unused.
	small int
}

// drain sends what waits now, and leaves the rest of a long queue for the next
// turn so that pings are not delayed.
func (w *batchWriter) drain() error {
	w.batch = w.out.queue.take(w.batch[:0])
	defer clear(w.batch)
	for sent, env := range w.batch {
		if err := w.add(env); err != nil {
			for range w.batch[sent:] {
				w.out.transport.drop(reasonLinkLost)
			}
			return err
		}
	}
	if w.out.queue.size() > 0 {
		w.out.queue.wake()
	}
	return w.flush()
}

// add encodes one envelope. One that cannot be encoded or does not fit into a
// frame is dropped.
func (w *batchWriter) add(env message.Envelope) error {
	t := w.out.transport
	start := w.buf.Len()
	if err := w.encoder.encode(&w.buf, env); err != nil {
		w.buf.Truncate(start)
		t.drop(reasonUnregistered)
		return nil
	}
	size := w.buf.Len() - start
	if size >= MaxFrameSize {
		w.buf.Truncate(start)
		t.drop(reasonOversized)
		return nil
	}
	w.encoder.keep()
	t.sent.Add(1)
	if w.buf.Len() < batchBytes {
		return nil
	}
	return w.flushUpTo(start)
}

// flushUpTo sends the buffer, in two frames if it would exceed one.
func (w *batchWriter) flushUpTo(start int) error {
	if w.buf.Len() < MaxFrameSize || start == 0 {
		return w.flush()
	}
	if err := w.send(w.buf.Bytes()[:start]); err != nil {
		return err
	}
	w.buf.Next(start)
	return w.flush()
}

func (w *batchWriter) flush() error {
	if w.buf.Len() == 0 {
		return nil
	}
	err := w.send(w.buf.Bytes())
	w.small++
	if w.buf.Len() >= w.buf.Cap()/4 {
		w.small = 0
	}
	w.buf.Reset()
	if w.buf.Cap() > bufferKept || (w.small >= smallFrames && w.buf.Cap() > bufferSmall) {
		w.buf = bytes.Buffer{}
	}
	return err
}

func (w *batchWriter) send(encoded []byte) error {
	t := w.out.transport
	t.frames.Add(1)
	w.frame = frame{kind: frameEnvelopes, encoded: encoded}
	return w.stream.MsgSend(&w.frame, t.encoding)
}
