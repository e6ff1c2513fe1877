// Package peer carries message envelopes between the system's own processes.
//
// A process sends on the links that it opened and receives on those that it
// accepted. Every link is one drpc stream of CBOR frames:
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
// Send never blocks and may drop. A link may lose envelopes when it is replaced;
// it does not repeat them.
package peer
