package message_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// previousLoad has two of the fields of an EndpointLoad of the version without a speed.
type previousLoad struct {
	Capacity resource.Amount `cbor:"2,keyasint"`
	Slowdown int64           `cbor:"8,keyasint,omitempty"`
}

// TestSpeedIsOptional guards against load reports that a process of the previous version
// cannot read, and against reports of such a process that appear to have a speed.
func TestSpeedIsOptional(t *testing.T) {
	load := message.EndpointLoad{
		Capacity: resource.Amount{MilliCPU: 1000}, Slowdown: 900,
		Speed: message.EndpointSpeed{RunRatio: 700, Uncertainty: 30, Runs: 100},
	}
	data, err := cbor.Marshal(load)
	if err != nil {
		t.Fatal(err)
	}
	var previous previousLoad
	if err := cbor.Unmarshal(data, &previous); err != nil || previous.Capacity != load.Capacity || previous.Slowdown != load.Slowdown {
		t.Errorf("the previous version reads %+v, error %v", previous, err)
	}
	if data, err = cbor.Marshal(previous); err != nil {
		t.Fatal(err)
	}
	var current message.EndpointLoad
	if err := cbor.Unmarshal(data, &current); err != nil || current.Speed.Known() || current.Slowdown != load.Slowdown {
		t.Errorf("%+v read from the previous version, error %v", current, err)
	}
	load.Speed = message.EndpointSpeed{}
	var fields map[int]any
	if data, err = cbor.Marshal(load); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &fields); err != nil || fields[12] != nil {
		t.Errorf("an unknown speed is sent as %v, error %v", fields[12], err)
	}
}
