// Package peer carries control messages between nodes by net/rpc over TLS. It
// delivers batches one way and at most once: the cores behind it tolerate loss,
// so a slow or dead peer costs messages and never blocks a node.
package peer

import (
	"crypto/tls"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// FromHeader names the sending node on a forwarded call, as FormatNode.
const FromHeader = "Cardamomhatch-From"

// FormatNode returns host/incarnation, with the incarnation in hexadecimal.
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

// CheckIdentity reports whether the verified certificate of a connection names
// the host. A connection without TLS is on loopback and trusted.
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
