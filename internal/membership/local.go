package membership

import "time"

// upstream is the state of the local upstream.
type upstream struct {
	announcement Announcement
	announcedAt  time.Duration
	announced    bool
	draining     bool
}

// HandleAnnouncement records an announcement of the local upstream.
func (d *Directory) HandleAnnouncement(now time.Duration, a Announcement) {
	d.upstream.announcement = a
	d.upstream.announcedAt = now
	d.upstream.announced = true
}

// LocalUpstream returns the state of the local upstream. The upstream lapses
// Config.AnnouncementTimeout after its last announcement. It serves again after the
// next announcement, unless Drain was called.
func (d *Directory) LocalUpstream(now time.Duration) LocalState {
	l := &d.upstream
	lapsed := l.announced && now-l.announcedAt >= d.cfg.AnnouncementTimeout
	return LocalState{
		Serving:     l.announced && !lapsed && !l.draining && l.announcement.Ready,
		Draining:    l.draining,
		Lapsed:      lapsed,
		Ready:       l.announcement.Ready,
		Slots:       l.announcement.Slots,
		Connections: l.announcement.Connections,
		InFlight:    l.announcement.InFlight,
		URL:         l.announcement.URL,
	}
}

// Drain permanently ends the admission of new work to the local upstream.
func (d *Directory) Drain(now time.Duration) { d.upstream.draining = true }
