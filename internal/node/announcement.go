package node

import (
	"encoding/json"
	"net/url"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

const (
	announcementLimit = 16 << 10
	// maxAnnounced bounds slots, connections and calls in flight, so that sums
	// of them cannot overflow.
	maxAnnounced = 1 << 20
)

// Announcement is the body of POST /announce on the local listener.
type Announcement struct {
	Service     mesh.Service `json:"service"`
	URL         string       `json:"url"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	InFlight    int          `json:"in_flight"`
	Ready       bool         `json:"ready"`
	Draining    bool         `json:"draining"`
}

// decodeAnnouncement checks an announcement and returns it with its parsed URL.
func decodeAnnouncement(data []byte) (Announcement, url.URL, error) {
	var a Announcement
	if len(data) > announcementLimit {
		return a, url.URL{}, errors.Errorf("announcement is longer than %d bytes", announcementLimit)
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
		a.Slots > maxAnnounced || a.Connections > maxAnnounced || a.InFlight > maxAnnounced {
		return a, url.URL{}, errors.Errorf("announced slots %d, connections %d or calls in flight %d are outside 0 to %d",
			a.Slots, a.Connections, a.InFlight, maxAnnounced)
	}
	return a, url.URL{Scheme: base.Scheme, Host: base.Host}, nil
}

// setUpstream makes the announced upstream the target of Run. The transport is
// replaced when the number of connections or the address changes; calls in
// flight keep theirs.
func (n *Node) setUpstream(a Announcement, base url.URL) {
	n.announce.Lock()
	defer n.announce.Unlock()
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
