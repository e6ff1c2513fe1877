package peer

import (
	"bytes"
	"reflect"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

// header has the fields of an envelope that rarely change on one link.
type header struct {
	version  uint16
	cluster  zinniasill.ClusterID
	from, to zinniasill.Node
}

// envelopeHead precedes the body of an envelope on the wire. It carries only the header
// fields that differ from the previous envelope on the same link: the unchanged ones
// took 79 of 220 bytes on average over the messages of BenchmarkOneTaskJob.
type envelopeHead struct {
	Version uint16                `cbor:"1,keyasint,omitempty"`
	Cluster *zinniasill.ClusterID `cbor:"2,keyasint,omitempty"`
	From    *zinniasill.Node      `cbor:"3,keyasint,omitempty"`
	To      *zinniasill.Node      `cbor:"4,keyasint,omitempty"`
	// Type is the registered number of the type of the body.
	Type uint64 `cbor:"5,keyasint"`
}

// encoder encodes the envelopes of one link, in the order in which they are sent.
type encoder struct {
	codec *Codec
	// last is the header of the last committed envelope, pending that of the envelope
	// encoded last.
	last, pending header
	head          envelopeHead
}

// encode appends the encoded envelope to buf. It returns an error if the type of the
// body is not registered or cannot be encoded. The caller calls commit if it sends the
// envelope; otherwise the next one is encoded as if this one had not existed.
func (e *encoder) encode(buf *bytes.Buffer, env message.Envelope) error {
	body, ok := e.codec.byType[reflect.TypeOf(env.Body)]
	if !ok {
		return eris.Errorf("message type %T is not registered", env.Body)
	}
	e.pending = header{version: env.Version, cluster: env.Cluster, from: env.From, to: env.To}
	e.head = envelopeHead{Type: body.number}
	if e.pending.version != e.last.version {
		e.head.Version = e.pending.version
	}
	if e.pending.cluster != e.last.cluster {
		e.head.Cluster = &e.pending.cluster
	}
	if e.pending.from != e.last.from {
		e.head.From = &e.pending.from
	}
	if e.pending.to != e.last.to {
		e.head.To = &e.pending.to
	}
	if err := e.codec.untagged.MarshalToBuffer(&e.head, buf); err != nil {
		return eris.Wrapf(err, "encode the envelope head of %T", env.Body)
	}
	return eris.Wrapf(body.mode.MarshalToBuffer(env.Body, buf), "encode %T", env.Body)
}

// commit marks the envelope encoded last as sent, so that the next one is encoded
// relative to it.
func (e *encoder) commit() {
	e.last = e.pending
}

// decoder decodes the envelopes of one link, in the order in which they were sent.
type decoder struct {
	codec *Codec
	// last is the header of the envelope decoded last.
	last header
	head envelopeHead
}

// decode decodes the first envelope of data and returns the bytes after it. The
// envelope shares no memory with data. Invalid input gives a *ProtocolError, after which
// the decoder must not be used.
func (d *decoder) decode(data []byte) (env message.Envelope, rest []byte, err error) {
	d.head = envelopeHead{}
	rest, err = d.codec.untagged.UnmarshalFirst(data, &d.head)
	if err != nil {
		return message.Envelope{}, nil, &ProtocolError{Reason: reasonMalformed, Message: err.Error()}
	}
	d.updateHeader()
	if d.last.version != message.Version {
		return message.Envelope{}, nil, versionError(d.last.version)
	}
	body, ok := d.codec.byNumber[d.head.Type]
	if !ok {
		return message.Envelope{}, nil, &ProtocolError{
			Reason:  reasonUnknownType,
			Message: "the message type of the body is not registered",
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

// updateHeader updates the header of the link with the fields in the envelope head.
func (d *decoder) updateHeader() {
	if d.head.Version != 0 {
		d.last.version = d.head.Version
	}
	if d.head.Cluster != nil {
		d.last.cluster = *d.head.Cluster
	}
	if d.head.From != nil {
		d.last.from = *d.head.From
	}
	if d.head.To != nil {
		d.last.to = *d.head.To
	}
}
