package membership

import "time"

// upstream is the state of the local upstream.
type upstream struct {
	announcement Announcement // the last one
	announcedAt  time.Duration
	announced    bool // at least once
	draining     bool // see Drain
}

// HandleAnnouncement records an announcement of the local upstream.
func (d *Directory) HandleAnnouncement(now time.Duration, a Announcement) {
	d.upstream.announcement = a
	d.upstream.announcedAt = now
	d.upstream.announced = true
}

// LocalUpstream returns the state of the local upstream. The upstream has lapsed if
// Config.AnnouncementTimeout has passed since its last announcement. It serves again
// once it announces that it is ready, unless Drain was called.
func (d *Directory) LocalUpstream(now time.Duration) LocalState {
	u := &d.upstream
	lapsed := u.announced && now-u.announcedAt >= d.cfg.AnnouncementTimeout
	return LocalState{
		Serving:     u.announced && !lapsed && !u.draining && u.announcement.Ready,
		Draining:    u.draining,
		Lapsed:      lapsed,
		Ready:       u.announcement.Ready,
		Slots:       u.announcement.Slots,
		Connections: u.announcement.Connections,
		InFlight:    u.announcement.InFlight,
		URL:         u.announcement.URL,
	}
}

// Drain permanently ends the admission of new work to the local upstream.
func (d *Directory) Drain(now time.Duration) { d.upstream.draining = true }
