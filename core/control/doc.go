// Package control owns the configuration of a cluster.
//
// A Machine is the state machine that every control replica applies the
// committed commands of the replicated log to. Its answers depend only on the
// log, so that all replicas agree:
//
//	machine := control.New()
//	data, err := control.Encode(control.Command{
//		Request: "9f3c",
//		Domain:  &control.PutDomain{Base: 4, Name: "zone-a", State: catalog.DomainOut},
//	})
//	result := machine.Apply(index, data)
//
// A Server is one replica's work around the machine: it answers lease renewals
// and reads after a read index, tracks submitted commands and, on the leader,
// watches nodes and epochs (Duties). It runs on a daemon loop. The replicated
// log itself is behind its inputs and outputs: Proposals and Reads go to the
// log, and Apply, Advance, ReadConfirmed and Lead come from it.
package control
