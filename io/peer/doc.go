// Package peer transports message envelopes between the processes of a cluster.
//
// A process sends on the links that it has opened and receives on those that it has
// accepted. Each link is one drpc stream of CBOR frames:
//
//	transport, err := peer.New(peer.Config{
//		Self:    self,
//		Listen:  "10.0.0.1:7400",
//		Resolve: addresses.Lookup,
//		Deliver: loop.Deliver,
//		Clock:   daemon.SystemClock{},
//	})
//	ended := transport.Start(ctx)
//	transport.Send(env)
//	err = <-ended
//
// Send never blocks, and drops the envelope if the queue of the receiver is full.
// Envelopes may also be lost when a link fails; the package does not resend them.
package peer
