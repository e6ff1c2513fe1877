package consensus

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniasill"
)

// TestMessagesRoundTrip guards against fields that share a CBOR key or have none.
func TestMessagesRoundTrip(t *testing.T) {
	node := zinniasill.Node{ID: "a", Incarnation: 1}
	member := Member{Name: "b", Instance: 2, Address: "b:1"}
	membership := Membership{Voters: []Member{member}, Learners: []Member{member, member}, Size: 3}
	entry := Entry{Index: 1, Term: 2, Kind: KindMembership, Data: []byte{3}, Membership: &membership}
	messages := []any{
		PreVote{1, 2, 3},
		PreVoteReply{1, true},
		Vote{1, 2, 3, true},
		VoteReply{1, true},
		Append{1, 2, 3, []Entry{entry, entry}, 4, 5},
		AppendReply{1, true, 2, 3},
		InstallSnapshot{1, Snapshot{2, 3, membership, []byte{4}}, 5},
		TimeoutNow{1},
		Forward{1, 2, []byte{3}, 4},
		ForwardReply{1, Accepted, 2, 3},
		ReadRequest{1, 2},
		ReadReply{1, true, 2, 3},
		Hello{member, "c", true, "d", true},
		JoinRequest{member, true, true},
		JoinReply{"c", RefusalInstanceAlive},
		HardState{"c", 1, node, "d"},
	}
	for _, sent := range messages {
		name := reflect.TypeOf(sent).Name()
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(sent)
			if err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(sent))
			if err := cbor.Unmarshal(data, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got.Elem().Interface(), sent) {
				t.Fatalf("received %+v, sent %+v", got.Elem(), sent)
			}
		})
	}
}
