package peer

import (
	"crypto/tls"

	"zinniasill"
)

// Security provides the TLS configurations of links, and checks that the other end
// of a link is the node that it says it is.
type Security interface {
	// Server returns the configuration for accepted links.
	Server() *tls.Config
	// Client returns the configuration for a link to a node. The handshake must fail
	// when another node answers.
	Client(node zinniasill.NodeID) *tls.Config
	// CheckPeer returns an error unless the certificate is that of the node.
	CheckPeer(state tls.ConnectionState, node zinniasill.NodeID) error
}
