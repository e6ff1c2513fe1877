package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/message"
)

func newCodec(t testing.TB) *Codec {
	t.Helper()
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

// encoded returns the encoding of the first envelope on a link.
func encoded(t testing.TB, codec *Codec, env message.Envelope) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := (&encoder{codec: codec}).encode(&buf, env); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func envelope(body any) message.Envelope {
	return message.Envelope{
		Version: message.Version,
		Cluster: "c1",
		From:    zinniasill.Node{ID: "entry-1", Incarnation: 7},
		To:      zinniasill.Node{ID: "agent-1", Incarnation: 9},
		Body:    body,
	}
}

// anyOf returns a generator of bodies of one type.
func anyOf[V any]() func(*rapid.T) any {
	generator := rapid.Make[V]()
	return func(t *rapid.T) any { return generator.Draw(t, "body") }
}

// bodies has a generator for each type in CoreTypes.
var bodies = []func(*rapid.T) any{
	anyOf[message.Renew](),
	anyOf[message.RenewReply](),
	anyOf[message.ClaimFast](),
	anyOf[message.ClaimPrepare](),
	anyOf[message.ClaimAccept](),
	anyOf[message.ClaimRead](),
	anyOf[message.ClaimReply](),
	anyOf[message.Offer](),
	anyOf[message.OfferReply](),
	anyOf[message.Fetch](),
	anyOf[message.Grant](),
	anyOf[message.Withdraw](),
	anyOf[message.WithdrawReply](),
	anyOf[message.Fence](),
	anyOf[message.FenceReply](),
	anyOf[message.Result](),
	anyOf[message.ResultAck](),
	anyOf[message.Attach](),
	anyOf[message.AttachReply](),
	claimBatch,
	anyOf[message.ClaimReplies](),
	anyOf[message.Cancel](),
	anyOf[message.CancelReply](),
	anyOf[message.HandoverPart](),
	anyOf[message.HandoverAck](),
	bundle,
	anyOf[message.LoadReport](),
	anyOf[message.Assign](),
	anyOf[message.Progress](),
	anyOf[message.LockRequest](),
	anyOf[message.LockReply](),
	anyOf[message.LockInquiry](),
	anyOf[message.LockInquiryReply](),
	anyOf[message.LockRecovery](),
	anyOf[message.LockRecoveryReply](),
}

// bundle generates a bundle of two other bodies.
func bundle(t *rapid.T) any {
	return message.Bundle{Bodies: []any{anyOf[message.ResultAck]()(t), claimBatch(t)}}
}

// claimBatch generates a batch of claim requests of any type, each tagged with its type
// on the wire.
func claimBatch(t *rapid.T) any {
	draws := []func(*rapid.T) any{
		anyOf[message.ClaimFast](), anyOf[message.ClaimPrepare](), anyOf[message.ClaimAccept](), anyOf[message.ClaimRead](),
	}
	var batch message.ClaimBatch
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		draw := rapid.SampledFrom(draws).Draw(t, "type")
		batch.Requests = append(batch.Requests, draw(t))
	}
	return batch
}

// canonical renders a value as text that is the same for nil and empty collections,
// which the encoding does not distinguish.
func canonical(t *rapid.T, value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("[]", "null", "{}", "null", `""`, "null").Replace(string(text))
}

// Guards against a message type whose fields are changed or lost by encoding and
// decoding, for example because two fields have the same number.
func TestCodecRoundTrip(t *testing.T) {
	codec := newCodec(t)
	if len(bodies) != len(CoreTypes()) {
		t.Fatalf("%d generators for %d types", len(bodies), len(CoreTypes()))
	}
	for _, draw := range bodies {
		rapid.Check(t, func(r *rapid.T) {
			env := envelope(draw(r))
			var buf bytes.Buffer
			if err := (&encoder{codec: codec}).encode(&buf, env); err != nil {
				r.Fatal(err)
			}
			got, rest, err := (&decoder{codec: codec}).decode(append(buf.Bytes(), 1, 2))
			if err != nil || len(rest) != 2 {
				r.Fatalf("%T: %v, %d bytes left", env.Body, err, len(rest))
			}
			if reflect.TypeOf(got.Body) != reflect.TypeOf(env.Body) || canonical(r, got) != canonical(r, env) {
				r.Fatalf("got %+v, want %+v", got, env)
			}
		})
	}
}

// withoutVersion returns an encoded envelope whose version is omitted, as it is after an
// earlier envelope on the same link.
func withoutVersion(t testing.TB, codec *Codec) []byte {
	t.Helper()
	var buf bytes.Buffer
	out := &encoder{codec: codec, last: header{version: message.Version}}
	if err := out.encode(&buf, envelope(message.Grant{})); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// Guards against an envelope that is decoded with a header field of an envelope other
// than the previous one on the link, in particular of one that was encoded but not sent.
func TestCodecLinkHeaders(t *testing.T) {
	codec := newCodec(t)
	node := func(r *rapid.T, label string) zinniasill.Node {
		return zinniasill.Node{
			ID:          rapid.SampledFrom([]zinniasill.NodeID{"", "a", "b"}).Draw(r, label),
			Incarnation: zinniasill.Incarnation(rapid.IntRange(0, 2).Draw(r, label+" incarnation")),
		}
	}
	rapid.Check(t, func(r *rapid.T) {
		out, in := &encoder{codec: codec}, &decoder{codec: codec}
		for range rapid.IntRange(1, 20).Draw(r, "envelopes") {
			env := message.Envelope{
				Version: message.Version, Cluster: rapid.SampledFrom([]zinniasill.ClusterID{"", "c", "d"}).Draw(r, "cluster"),
				From: node(r, "from"), To: node(r, "to"), Body: message.Fetch{},
			}
			var buf bytes.Buffer
			if err := out.encode(&buf, env); err != nil {
				r.Fatal(err)
			}
			if rapid.Bool().Draw(r, "dropped") {
				continue
			}
			out.commit()
			if got, _, err := in.decode(buf.Bytes()); err != nil || !reflect.DeepEqual(got, env) {
				r.Fatalf("got %+v, %v, want %+v", got, err, env)
			}
		}
	})
}

// futureType is a message type that this release does not register.
type futureType struct{ A int }

// Guards against a decoder that accepts invalid or unsupported input.
func TestCodecRejectsInvalidInput(t *testing.T) {
	codec := newCodec(t)
	extended, err := NewCodec(MessageType{Number: 99, Sample: futureType{}})
	if err != nil {
		t.Fatal(err)
	}
	newer := envelope(message.Grant{})
	newer.Version = message.Version + 1
	good := encoded(t, codec, envelope(message.Grant{Key: zinniasill.Key{Team: "a", Client: "b"}}))
	tests := map[string]struct {
		data []byte
		want zinniasill.Reason
	}{
		"unknown type":    {encoded(t, extended, envelope(futureType{1})), reasonUnknownType},
		"unknown version": {encoded(t, codec, newer), reasonVersion},
		"no version":      {withoutVersion(t, codec), reasonVersion},
		"truncated":       {good[:len(good)-1], reasonMalformed},
		"not CBOR":        {[]byte("GET / HTTP/1.1\r\n\r\n"), reasonMalformed},
		"empty":           {nil, reasonMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := (&decoder{codec: codec}).decode(test.data)
			var protocol *ProtocolError
			if !errors.As(err, &protocol) || protocol.Reason != test.want {
				t.Fatalf("got %v, want reason %s", err, test.want)
			}
		})
	}
	var buf bytes.Buffer
	if err := (&encoder{codec: codec}).encode(&buf, envelope("text")); err == nil {
		t.Fatal("a body of an unregistered type was encoded")
	}
	if _, err := NewCodec(MessageType{Number: 1, Sample: futureType{}}); err == nil {
		t.Fatal("two types with the same number were registered")
	}
}

// Guards against input that makes the decoder panic, or that does not survive another
// encoding and decoding.
func FuzzDecode(f *testing.F) {
	codec := newCodec(f)
	for _, messageType := range CoreTypes() {
		f.Add(encoded(f, codec, envelope(messageType.Sample)))
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, _, err := (&decoder{codec: codec}).decode(data)
		if err != nil {
			return
		}
		redecoded, rest, err := (&decoder{codec: codec}).decode(encoded(t, codec, env))
		if err != nil || len(rest) != 0 || !reflect.DeepEqual(reflect.TypeOf(redecoded.Body), reflect.TypeOf(env.Body)) {
			t.Fatalf("decoded %+v, but encoding and decoding it again gives %+v, %v", env, redecoded, err)
		}
	})
}
