// Package control implements the replicated configuration of a cluster.
//
// A Machine is the state machine to which every control replica applies the
// committed commands of the replicated log. Its results depend only on the log, so
// that all replicas agree:
//
//	machine := control.New()
//	data, err := control.Encode(control.Command{
//		Request: "9f3c",
//		Domain:  &control.PutDomain{Base: 4, Name: "zone-a", State: catalog.DomainOutOfService},
//	})
//	result := machine.Apply(index, data)
//
// A Server runs the machine on one replica: it replies to lease renewals and reads
// once their read index is applied, tracks submitted commands and, on the leader,
// runs the background tasks that maintain nodes and epochs (LeaderTasks). It runs on
// a daemon loop. The caller connects it to the replicated log: it passes the results
// of Proposals and Reads to the log, and calls Apply, Advance, Restore,
// ReadConfirmed, ReadFailed and SetLeader with what the log reports.
package control
