package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// Report is the announcement body and the answer of /load.
type Report struct {
	Service     mesh.Service `json:"service"`
	URL         string       `json:"url"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	InFlight    int          `json:"in_flight"`
	Ready       bool         `json:"ready"`
	Draining    bool         `json:"draining"`
}

const (
	defaultAnnounce = time.Second
	announceTimeout = time.Second
	stopTimeout     = 10 * time.Second
)

// report describes the load as the upstream shows it, which may be late or
// wrong.
func (u *Upstream) report() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := Report{
		Service:     u.cfg.Service,
		Slots:       u.cfg.Slots,
		Connections: u.cfg.Connections,
		InFlight:    u.reportedLoad(time.Now()),
		Ready:       !u.drain,
		Draining:    u.drain,
	}
	if u.faults.LieIdle {
		r.InFlight, r.Ready, r.Draining = 0, true, false
	}
	return r
}

// reportedLoad returns the newest sample that is old enough, and forgets those
// before it.
func (u *Upstream) reportedLoad(now time.Time) int {
	if u.cfg.LoadLag <= 0 {
		return u.running
	}
	last := -1
	for i, s := range u.history {
		if now.Sub(s.at) >= u.cfg.LoadLag {
			last = i
		}
	}
	if last < 0 {
		return 0
	}
	load := u.history[last].running
	u.history = u.history[last:]
	return load
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if u.report().Ready {
		writeJSON(w, map[string]string{"status": "ok"})
		return
	}
	http.Error(w, "draining", http.StatusServiceUnavailable)
}

// AnnounceOnce tells the node of this upstream, which it reaches under address.
func (u *Upstream) AnnounceOnce(ctx context.Context, address string) error {
	report := u.report()
	report.URL = address
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.cfg.Node+"/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	resp, err := u.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("announcement to %s: %s", u.cfg.Node, resp.Status)
	}
	return nil
}

// Announce repeats the announcement until ctx ends. A failed one is skipped:
// the node may be restarting.
func (u *Upstream) Announce(ctx context.Context, address string) {
	every := u.cfg.Announce
	if every <= 0 {
		every = defaultAnnounce
	}
	for {
		_ = u.AnnounceOnce(ctx, address)
		if !sleep(ctx, every) {
			return
		}
	}
}

// Run serves the upstream on cfg.Listen until ctx ends, then announces that it
// drains and finishes the calls in flight. Ready is called with the URL.
func Run(ctx context.Context, cfg Config, ready func(url string)) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	u := New(cfg)
	address := "http://" + listener.Addr().String()
	server := &http.Server{Handler: u, ReadHeaderTimeout: announceTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if cfg.Node != "" {
		go u.Announce(ctx, address)
	}
	if ready != nil {
		ready(address)
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "upstream")
	case <-ctx.Done():
	}
	u.Drain()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if cfg.Node != "" {
		_ = u.AnnounceOnce(stop, address) // the node notices the silence otherwise
	}
	return server.Shutdown(stop)
}
