package peer

import (
	"bytes"
	"reflect"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

// header is the part of an envelope that mostly stays the same on one link.
type header struct {
	version  uint16
	cluster  zinniasill.ClusterID
	from, to zinniasill.Node
}

// packed is the head of an envelope on the wire; the body follows it. It carries only
// the fields of the header that differ from the envelope before it on the same link:
// cluster, sender and receiver took 80 of the 150 to 300 bytes of a message.
type packed struct {
	Version uint16                `cbor:"1,keyasint,omitempty"`
	Cluster *zinniasill.ClusterID `cbor:"2,keyasint,omitempty"`
	From    *zinniasill.Node      `cbor:"3,keyasint,omitempty"`
	To      *zinniasill.Node      `cbor:"4,keyasint,omitempty"`
	// Type is the number of the body's type.
	Type uint64 `cbor:"5,keyasint"`
}

// encoder encodes the envelopes of one link in their order.
type encoder struct {
	codec *Codec
	// last is the header of the last kept envelope, next that of the present one.
	last, next header
	out        packed
}

// encode appends the encoded envelope to buf. It returns an error when the type of
// the body is not registered. Unless keep is called, the envelope is not sent, and
// the next one is encoded without it.
func (e *encoder) encode(buf *bytes.Buffer, env message.Envelope) error {
	body, ok := e.codec.byType[reflect.TypeOf(env.Body)]
	if !ok {
		return eris.Errorf("message type %T is not registered", env.Body)
	}
	e.next = header{version: env.Version, cluster: env.Cluster, from: env.From, to: env.To}
	e.out = packed{Type: body.number}
	if e.next.version != e.last.version {
		e.out.Version = e.next.version
	}
	if e.next.cluster != e.last.cluster {
		e.out.Cluster = &e.next.cluster
	}
	if e.next.from != e.last.from {
		e.out.From = &e.next.from
	}
	if e.next.to != e.last.to {
		e.out.To = &e.next.to
	}
	if err := e.codec.plain.MarshalToBuffer(&e.out, buf); err != nil {
		return eris.Wrapf(err, "encode the head of %T", env.Body)
	}
	return eris.Wrapf(body.mode.MarshalToBuffer(env.Body, buf), "encode %T", env.Body)
}

// keep records that the envelope that was encoded last is sent.
func (e *encoder) keep() {
	e.last = e.next
}

// decoder decodes the envelopes of one link in their order.
type decoder struct {
	codec *Codec
	last  header
	in    packed
}

// decode decodes the first envelope of data and returns the bytes after it. The
// envelope shares no memory with data. After an error the decoder is of no use.
func (d *decoder) decode(data []byte) (env message.Envelope, rest []byte, err error) {
	d.in = packed{}
	rest, err = d.codec.plain.UnmarshalFirst(data, &d.in)
	if err != nil {
		return message.Envelope{}, nil, &ProtocolError{Reason: reasonMalformed, Message: err.Error()}
	}
	d.takeHeader()
	if d.last.version != message.Version {
		return message.Envelope{}, nil, versionError(d.last.version)
	}
	body, ok := d.codec.byNumber[d.in.Type]
	if !ok {
		return message.Envelope{}, nil, &ProtocolError{
			Reason:  reasonUnknownType,
			Message: "body is not of a registered message type",
		}
	}
	value := reflect.New(body.goType)
	rest, err = body.mode.UnmarshalFirst(rest, value.Interface())
	if err != nil {
		return message.Envelope{}, nil, &ProtocolError{Reason: reasonMalformed, Message: err.Error()}
	}
	return message.Envelope{
		Version: d.last.version, Cluster: d.last.cluster, From: d.last.from, To: d.last.to,
		Body: value.Elem().Interface(),
	}, rest, nil
}

// takeHeader takes over the fields that the envelope carries.
func (d *decoder) takeHeader() {
	if d.in.Version != 0 {
		d.last.version = d.in.Version
	}
	if d.in.Cluster != nil {
		d.last.cluster = *d.in.Cluster
	}
	if d.in.From != nil {
		d.last.from = *d.in.From
	}
	if d.in.To != nil {
		d.last.to = *d.in.To
	}
}
