package peer

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"zinniasill"
	"zinniasill/core/message"
)

// streamMethod is the drpc method name of the stream of a link.
const streamMethod = "/zinniasill.Peer/Link"

// MaxFrameSize is the maximum size of a frame in bytes.
const MaxFrameSize = 16 << 20

// Reasons for refusing a connection, the labels of the counter peer_refused_total.
const (
	reasonProtocol    zinniasill.Reason = "protocol"
	reasonMalformed   zinniasill.Reason = "malformed"
	reasonUnknownType zinniasill.Reason = "unknown-type"
	reasonVersion     zinniasill.Reason = "version"
	reasonMethod      zinniasill.Reason = "method"
	reasonWrongNode   zinniasill.Reason = "wrong-node"
	reasonNoHello     zinniasill.Reason = "no-hello"
	reasonTLS         zinniasill.Reason = "tls"
	reasonIdentity    zinniasill.Reason = "identity"
	reasonTooMany     zinniasill.Reason = "too-many"
	reasonMemory      zinniasill.Reason = "memory"
)

// Reasons for closing an established link, the labels of the counter peer_closed_total.
const (
	reasonUnresponsive zinniasill.Reason = "silent"
	reasonStalled      zinniasill.Reason = "stalled"
)

// Reasons for dropping an envelope, the labels of the counter peer_dropped_total.
const (
	reasonQueueFull      zinniasill.Reason = "queue-full"
	reasonLinkLost       zinniasill.Reason = "link-lost"
	reasonUnreachable    zinniasill.Reason = "unreachable"
	reasonUnregistered   zinniasill.Reason = "unregistered"
	reasonOversized      zinniasill.Reason = "oversized"
	reasonForeignCluster zinniasill.Reason = "foreign-cluster"
	reasonWrongSender    zinniasill.Reason = "wrong-sender"
)

// ProtocolError is the error for input that violates the protocol. The connection is
// closed.
type ProtocolError struct {
	Reason  zinniasill.Reason
	Message string
}

// Error returns the reason and the message.
func (p *ProtocolError) Error() string {
	return fmt.Sprintf("peer protocol: %s: %s", p.Reason, p.Message)
}

// versionError returns the error for an unsupported protocol version.
func versionError(version uint16) error {
	return &ProtocolError{
		Reason:  reasonVersion,
		Message: fmt.Sprintf("unsupported version %d, want %d", version, message.Version),
	}
}

// frameKind is the first CBOR item of a frame. Kinds are below 24, which CBOR encodes in
// one byte.
type frameKind byte

// Values of frameKind.
const (
	frameHello frameKind = iota + 1
	framePing
	framePong
	frameEnvelopes
)

// hello is the first frame on a link in each direction. The accepting side replies to
// the hello of the opening side.
type hello struct {
	Version uint16          `cbor:"1,keyasint"`
	From    zinniasill.Node `cbor:"2,keyasint"`
	// To is the intended receiver. It detects an address that now belongs to another
	// process.
	To zinniasill.NodeID `cbor:"3,keyasint"`
	// Address is the TCP address on which From accepts links, empty if it accepts none.
	Address string `cbor:"4,keyasint,omitempty"`
}

// frame is one drpc message. On the wire it is the kind, followed by a CBOR sequence
// that depends on the kind.
type frame struct {
	kind  frameKind
	hello hello
	// encoded has the encoded envelopes of a frame to send.
	encoded []byte
	// deliver is called for each envelope of a received frame, decoded by decoder.
	deliver func(env message.Envelope)
	decoder *decoder
}

// encoding implements drpc.Encoding for *frame.
type encoding struct {
	codec *Codec
}

var _ drpc.Encoding = encoding{}

// Marshal returns the encoded frame.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, msg)
}

// MarshalAppend appends the encoded frame to buf.
func (e encoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	out, ok := msg.(*frame)
	if !ok {
		return nil, eris.Errorf("encode frame: unexpected type %T", msg)
	}
	buf = append(buf, byte(out.kind))
	switch out.kind {
	case frameHello:
		var body bytes.Buffer
		if err := e.codec.untagged.MarshalToBuffer(out.hello, &body); err != nil {
			return nil, eris.Wrap(err, "encode hello")
		}
		return append(buf, body.Bytes()...), nil
	default:
		return append(buf, out.encoded...), nil
	}
}

// Unmarshal decodes a frame into msg and delivers its envelopes. It returns a
// *ProtocolError if buf is not one complete and valid frame.
func (e encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	in, ok := msg.(*frame)
	if !ok {
		return eris.Errorf("decode frame: unexpected type %T", msg)
	}
	if len(buf) == 0 {
		return &ProtocolError{Reason: reasonMalformed, Message: "empty frame"}
	}
	in.kind = frameKind(buf[0])
	body := buf[1:]
	switch {
	case in.kind == frameHello:
		return e.unmarshalHello(body, in)
	case in.kind == frameEnvelopes && in.deliver != nil:
		return unmarshalEnvelopes(body, in)
	case (in.kind == framePing || in.kind == framePong) && len(body) == 0:
		return nil
	}
	return &ProtocolError{
		Reason:  reasonMalformed,
		Message: fmt.Sprintf("unexpected frame of kind %d with %d bytes", in.kind, len(body)),
	}
}

func (e encoding) unmarshalHello(body []byte, in *frame) error {
	if err := e.codec.untagged.Unmarshal(body, &in.hello); err != nil {
		return &ProtocolError{Reason: reasonMalformed, Message: "hello: " + err.Error()}
	}
	if in.hello.Version != message.Version {
		return versionError(in.hello.Version)
	}
	return nil
}

func unmarshalEnvelopes(body []byte, in *frame) error {
	for len(body) > 0 {
		env, rest, err := in.decoder.decode(body)
		if err != nil {
			return err
		}
		in.deliver(env)
		body = rest
	}
	return nil
}
