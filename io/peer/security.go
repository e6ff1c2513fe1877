package peer

import (
	"crypto/tls"

	"zinniasill"
)

// Security provides the TLS configurations of links and authenticates the node at the
// other end.
type Security interface {
	// Server returns the configuration for accepting links.
	Server() *tls.Config
	// Client returns the configuration for opening a link to a node. The handshake must
	// fail if the server's certificate is not that of the node.
	Client(node zinniasill.NodeID) *tls.Config
	// CheckPeer returns an error unless the peer's certificate is that of the node.
	CheckPeer(state tls.ConnectionState, node zinniasill.NodeID) error
}
