package peer

import (
	"bytes"
	"context"
	"net"
	"testing"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"zinniasill"
	"zinniasill/core/message"
)

// Guards against a program that speaks drpc, but not this protocol or another
// version of it, and is not refused with the right reason.
func TestTransportRefusesOtherProtocols(t *testing.T) {
	codec, err := NewCodec(MessageType{Number: 99, Sample: later{}})
	if err != nil {
		t.Fatal(err)
	}
	greeting := hello{Version: message.Version, From: zinniasill.Node{ID: "x"}, To: "b"}
	greet := rawFrame(t, codec, &frame{kind: frameHello, hello: greeting})
	greeting.Version++
	newer := rawFrame(t, codec, &frame{kind: frameHello, hello: greeting})
	unknown := encoded(t, codec, envelope(later{1}))
	tests := map[string]struct {
		frames [][]byte
		want   string
	}{
		"other version":    {[][]byte{newer}, "version"},
		"ping first":       {[][]byte{{byte(framePing)}}, "no-hello"},
		"empty frame":      {[][]byte{{}}, "malformed"},
		"hello cut off":    {[][]byte{greet[:len(greet)-1]}, "malformed"},
		"hello twice":      {[][]byte{greet, greet}, "malformed"},
		"unknown kind":     {[][]byte{greet, {23}}, "malformed"},
		"unknown type":     {[][]byte{greet, append([]byte{byte(frameEnvelopes)}, unknown...)}, "unknown-type"},
		"envelope cut off": {[][]byte{greet, append([]byte{byte(frameEnvelopes)}, unknown[:9]...)}, "malformed"},
		"oversized frame":  {[][]byte{greet, make([]byte, MaxFrameSize+1)}, "protocol"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := start(t, "b", &addresses{}, nil)
			sendRaw(t, b.Address(), test.frames)
			if got := b.counts.WaitReason("peer_refused_total"); got != test.want {
				t.Fatalf("refused as %q, want %q", got, test.want)
			}
		})
	}
}

func rawFrame(t *testing.T, codec *Codec, f *frame) []byte {
	t.Helper()
	data, err := encoding{codec: codec}.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(data)
}

// sendRaw sends frames and returns when the other side has closed the connection.
func sendRaw(t *testing.T, address string, frames [][]byte) {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client := drpcconn.New(raw)
	defer func() { _ = client.Close() }()
	stream, err := client.NewStream(context.Background(), method, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range frames {
		// A write fails once the other side has closed the connection.
		_ = stream.(*drpcstream.Stream).RawWrite(drpcwire.KindMessage, data)
		_ = stream.(*drpcstream.Stream).RawFlush()
	}
	for err == nil {
		_, err = stream.(*drpcstream.Stream).RawRecv()
	}
}
