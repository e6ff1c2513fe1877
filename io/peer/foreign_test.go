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

// Guards against a drpc client with another protocol, or another version of this one,
// that is not refused with the correct reason.
func TestTransportRefusesOtherProtocols(t *testing.T) {
	codec, err := NewCodec(MessageType{Number: 99, Sample: futureType{}})
	if err != nil {
		t.Fatal(err)
	}
	content := hello{Version: message.Version, From: zinniasill.Node{ID: "x"}, To: "b"}
	valid := rawFrame(t, codec, &frame{kind: frameHello, hello: content})
	content.Version++
	newer := rawFrame(t, codec, &frame{kind: frameHello, hello: content})
	unknown := encoded(t, codec, envelope(futureType{1}))
	tests := map[string]struct {
		frames [][]byte
		want   string
	}{
		"other version":      {[][]byte{newer}, "version"},
		"ping first":         {[][]byte{{byte(framePing)}}, "no-hello"},
		"empty frame":        {[][]byte{{}}, "malformed"},
		"truncated hello":    {[][]byte{valid[:len(valid)-1]}, "malformed"},
		"second hello":       {[][]byte{valid, valid}, "malformed"},
		"unknown kind":       {[][]byte{valid, {23}}, "malformed"},
		"unknown type":       {[][]byte{valid, append([]byte{byte(frameEnvelopes)}, unknown...)}, "unknown-type"},
		"truncated envelope": {[][]byte{valid, append([]byte{byte(frameEnvelopes)}, unknown[:9]...)}, "malformed"},
		"oversized frame":    {[][]byte{valid, make([]byte, MaxFrameSize+1)}, "protocol"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := start(t, "b", &addressBook{}, nil)
			sendRaw(t, b.Address(), test.frames)
			if got := b.counts.WaitReason("peer_refused_total"); got != test.want {
				t.Fatalf("refused as %q, want %q", got, test.want)
			}
		})
	}
}

// rawFrame returns the encoding of a frame.
func rawFrame(t *testing.T, codec *Codec, f *frame) []byte {
	t.Helper()
	data, err := encoding{codec: codec}.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(data)
}

// sendRaw opens a link, sends frames and returns after the peer has closed the
// connection.
func sendRaw(t *testing.T, address string, frames [][]byte) {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client := drpcconn.New(raw)
	defer func() { _ = client.Close() }()
	stream, err := client.NewStream(context.Background(), streamMethod, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range frames {
		// Writes fail after the peer has closed the connection.
		_ = stream.(*drpcstream.Stream).RawWrite(drpcwire.KindMessage, data)
		_ = stream.(*drpcstream.Stream).RawFlush()
	}
	for err == nil {
		_, err = stream.(*drpcstream.Stream).RawRecv()
	}
}
