package claim

import (
	"encoding/binary"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/message"
)

// Bits of the first byte of an encoded register.
const (
	bitValue = 1 << iota
	bitPromised
	bitAccepted
	bitTombstone
	bitRefused
	bitDigest
)

// registerKey is the key of a register in the archive of an acceptor.
func registerKey(register message.Register) []byte {
	key := binary.AppendUvarint(nil, uint64(register.Term))
	return append(key, archive.EncodeKey(register.Key)...)
}

func parseRegister(epoch zinniasill.Epoch, key []byte) message.Register {
	r := archive.Reader{Data: key}
	term := zinniasill.Term(r.Uint())
	return message.Register{Key: archive.DecodeKey(r.Data), Term: term, Epoch: epoch}
}

// encode returns a register's state without its name. Most registers hold a value of
// round 0 and no promise, which takes about 50 B.
func (a *Acceptor) encode(s RegisterState) []byte {
	bits := byte(0)
	set := func(bit byte, condition bool) {
		if condition {
			bits |= bit
		}
	}
	set(bitValue, s.HasValue)
	set(bitPromised, s.Promised != (message.Ballot{}))
	set(bitAccepted, s.Accepted != (message.Ballot{}))
	set(bitTombstone, s.Value.Tombstone)
	set(bitRefused, s.Value.Refused != "")
	set(bitDigest, s.Value.Digest != (zinniasill.Digest{}))
	data := []byte{bits}
	for _, ballot := range []message.Ballot{s.Promised, s.Accepted} {
		if ballot != (message.Ballot{}) {
			data = binary.AppendUvarint(data, ballot.Round)
			data = archive.AppendString(data, string(ballot.Proposer))
		}
	}
	if !s.HasValue {
		return data
	}
	data = binary.AppendUvarint(data, a.nodes.Number(s.Value.Owner))
	if s.Value.Digest != (zinniasill.Digest{}) {
		data = append(data, s.Value.Digest[:]...)
	}
	data = binary.AppendUvarint(data, s.Value.Sequence)
	if s.Value.Refused != "" {
		data = archive.AppendString(data, string(s.Value.Refused))
	}
	for _, node := range s.Value.Candidates {
		data = binary.AppendUvarint(data, a.nodes.Number(node))
	}
	return data
}

// decode returns the state that encode was given.
func (a *Acceptor) decode(register message.Register, data []byte) RegisterState {
	r := archive.Reader{Data: data}
	bits := r.Next(1)[0]
	s := RegisterState{Register: register, HasValue: bits&bitValue != 0}
	if bits&bitPromised != 0 {
		s.Promised = message.Ballot{Round: r.Uint(), Proposer: zinniasill.NodeID(r.String())}
	}
	if bits&bitAccepted != 0 {
		s.Accepted = message.Ballot{Round: r.Uint(), Proposer: zinniasill.NodeID(r.String())}
	}
	if !s.HasValue {
		return s
	}
	s.Value.Owner = a.nodes.Node(r.Uint())
	if bits&bitDigest != 0 {
		copy(s.Value.Digest[:], r.Next(len(s.Value.Digest)))
	}
	s.Value.Sequence = r.Uint()
	s.Value.Tombstone = bits&bitTombstone != 0
	if bits&bitRefused != 0 {
		s.Value.Refused = zinniasill.Reason(r.String())
	}
	for len(r.Data) > 0 {
		s.Value.Candidates = append(s.Value.Candidates, a.nodes.Node(r.Uint()))
	}
	return s
}
