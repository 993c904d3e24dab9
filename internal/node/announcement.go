package node

import (
	"encoding/json"
	"net/url"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

const (
	maxAnnouncementBytes = 16 << 10
	// maxAnnouncedCount limits slots, connections and calls in flight, so that
	// sums of them cannot overflow.
	maxAnnouncedCount = 1 << 20
)

// Announcement is the body of POST /announce on the local listener.
type Announcement struct {
	Service     mesh.Service `json:"service"`
	URL         string       `json:"url"`
	Slots       int          `json:"slots"`       // calls that the upstream runs at the same time; 0 if not stated
	Connections int          `json:"connections"` // connections that it accepts; 0 if not stated
	InFlight    int          `json:"in_flight"`   // calls that it is running
	Ready       bool         `json:"ready"`
	Draining    bool         `json:"draining"`
}

// decodeAnnouncement decodes and validates an announcement. It also returns the
// scheme and host of the announced URL.
func decodeAnnouncement(data []byte) (Announcement, url.URL, error) {
	var a Announcement
	if len(data) > maxAnnouncementBytes {
		return a, url.URL{}, errors.Errorf("announcement is longer than %d bytes", maxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, url.URL{}, errors.Wrap(err, "announcement")
	}
	if a.Service == "" {
		return a, url.URL{}, errors.New("announcement names no service")
	}
	base, err := url.Parse(a.URL)
	if err != nil {
		return a, url.URL{}, errors.Wrap(err, "announcement")
	}
	if base.Scheme != "http" || base.Host == "" || base.User != nil {
		return a, url.URL{}, errors.Errorf("announced URL %q is not of the form http://host:port", a.URL)
	}
	if a.Slots < 0 || a.Connections < 0 || a.InFlight < 0 ||
		a.Slots > maxAnnouncedCount || a.Connections > maxAnnouncedCount || a.InFlight > maxAnnouncedCount {
		return a, url.URL{}, errors.Errorf("announced slots %d, connections %d or calls in flight %d are outside 0 to %d",
			a.Slots, a.Connections, a.InFlight, maxAnnouncedCount)
	}
	return a, url.URL{Scheme: base.Scheme, Host: base.Host}, nil
}

// setUpstream makes the announced upstream the target of Run effects. It
// replaces the transport when the service, the address or the number of
// connections changes; calls in flight keep the old one.
func (n *Node) setUpstream(a Announcement, base url.URL) {
	n.upstreamMu.Lock()
	defer n.upstreamMu.Unlock()
	old := n.upstream.Load()
	if old != nil && old.connections == a.Connections && old.base == base && old.service == a.Service {
		return
	}
	n.upstream.Store(&localUpstream{
		service:     a.Service,
		base:        base,
		connections: a.Connections,
		transport:   upstreamTransport(a.Connections),
	})
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}
