// Package peer carries control messages between nodes by net/rpc, over TLS if it
// is configured. Messages are sent in batches, and each is delivered at most once; a
// reply is a message of its own. The state machines that consume the messages tolerate
// loss, so messages to a slow or dead peer are dropped instead of blocking the sender.
package peer

import (
	"crypto/tls"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// FromHeader is the header that identifies the node that forwards a call, in the
// format of FormatNode.
const FromHeader = "Cardamomhatch-From"

// FormatNode returns the identity as host/incarnation, with the incarnation in
// hexadecimal.
func FormatNode(n mesh.NodeID) string {
	return string(n.Host) + "/" + strconv.FormatUint(uint64(n.Incarnation), 16)
}

// ParseNode is the inverse of FormatNode.
func ParseNode(s string) (mesh.NodeID, error) {
	host, number, ok := strings.Cut(s, "/")
	incarnation, err := strconv.ParseUint(number, 16, 64)
	if !ok || host == "" || err != nil {
		return mesh.NodeID{}, errors.Errorf("sender %q is not of the form host/incarnation", s)
	}
	return mesh.NodeID{Host: mesh.Host(host), Incarnation: mesh.Incarnation(incarnation)}, nil
}

// CheckIdentity returns an error if the verified certificate of a connection does
// not name the host. state is nil for a connection without TLS, which is trusted
// because it is meant for loopback.
func CheckIdentity(state *tls.ConnectionState, host mesh.Host) error {
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 {
		return errors.Errorf("peer %s presented no certificate", host)
	}
	names := state.PeerCertificates[0].DNSNames
	if slices.Contains(names, string(host)) {
		return nil
	}
	return errors.Errorf("certificate names %v, not host %s", names, host)
}
