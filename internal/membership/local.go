package membership

import "time"

// local is the state of the upstream beside this node.
type local struct {
	last      Announcement
	at        time.Duration
	announced bool
	draining  bool
}

// Announced takes an announcement of the local upstream.
func (d *Directory) Announced(now time.Duration, a Announcement) {
	d.local.last = a
	d.local.at = now
	d.local.announced = true
}

// LocalUpstream returns the state of the local upstream. It lapses Config.Lapse after its
// last announcement and serves again from the next one on, unless it drains.
func (d *Directory) LocalUpstream(now time.Duration) LocalState {
	l := &d.local
	lapsed := l.announced && now-l.at >= d.cfg.Lapse
	return LocalState{
		Serving:     l.announced && !lapsed && !l.draining && l.last.Ready,
		Draining:    l.draining,
		Lapsed:      lapsed,
		Ready:       l.last.Ready,
		Slots:       l.last.Slots,
		Connections: l.last.Connections,
		InFlight:    l.last.InFlight,
		URL:         l.last.URL,
	}
}

// Drain ends the admission of new work for good.
func (d *Directory) Drain(now time.Duration) { d.local.draining = true }
