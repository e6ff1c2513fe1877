package consensus

import "testing"

// TestRefusedForward guards against a forwarded proposal that is reported as not
// written, although the network delivered another copy that was written before.
func TestRefusedForward(t *testing.T) {
	tests := map[string]func(leader, other *Replica) (*Replica, Term){
		"during a transfer": func(leader, other *Replica) (*Replica, Term) {
			leader.leading.target = other.self
			return leader, leader.hard.Term
		},
		"of an earlier term": func(leader, _ *Replica) (*Replica, Term) {
			return leader, leader.hard.Term - 1
		},
		"at a replica that does not lead": func(_, other *Replica) (*Replica, Term) {
			return other, other.hard.Term
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 29, 3, true)
			leader := s.waitLeader()
			var others []*simProcess
			for _, p := range s.procs {
				if p != leader {
					others = append(others, p)
				}
			}
			receiver, term := prepare(leader.replica, others[0].replica)
			env := others[1].replica.envelope(receiver.self, Forward{Term: term, ID: 1, Session: 2})
			receiver.Receive(s.now, env)
			var replies []ForwardReply
			for _, env := range receiver.Outbox() {
				if reply, ok := env.Body.(ForwardReply); ok {
					replies = append(replies, reply)
				}
			}
			if len(replies) != 1 || replies[0].Outcome != Unknown {
				t.Fatalf("replies %+v", replies)
			}
		})
	}
}
