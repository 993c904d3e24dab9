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

// Report is the body of an announcement and of the response to /load.
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
	defaultAnnounceInterval = time.Second
	// announceTimeout limits one announcement and, in Run, the reading of a request header.
	announceTimeout = time.Second
	// stopTimeout limits the last announcement and the wait for the calls in flight.
	stopTimeout = 10 * time.Second
)

// report returns the state that the upstream reports, which faults and LoadReportDelay
// can make outdated or wrong.
func (u *Upstream) report() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := Report{
		Service:     u.cfg.Service,
		Slots:       u.cfg.Slots,
		Connections: u.cfg.Connections,
		InFlight:    u.reportedLoad(time.Now()),
		Ready:       !u.draining,
		Draining:    u.draining,
	}
	if u.faults.ReportIdle {
		r.InFlight, r.Ready, r.Draining = 0, true, false
	}
	return r
}

// reportedLoad returns the number of calls that ran LoadReportDelay ago. It drops samples
// that are no longer needed.
func (u *Upstream) reportedLoad(now time.Time) int {
	if u.cfg.LoadReportDelay <= 0 {
		return u.running
	}
	newest := -1
	for i, s := range u.loadHistory {
		if now.Sub(s.at) >= u.cfg.LoadReportDelay {
			newest = i
		}
	}
	if newest < 0 {
		return 0
	}
	load := u.loadHistory[newest].running
	u.loadHistory = u.loadHistory[newest:]
	return load
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if u.report().Ready {
		writeJSON(w, map[string]string{"status": "ok"})
		return
	}
	http.Error(w, "draining", http.StatusServiceUnavailable)
}

// AnnounceOnce sends one announcement to the node. The node reaches the upstream at
// ownURL.
func (u *Upstream) AnnounceOnce(ctx context.Context, ownURL string) error {
	report := u.report()
	report.URL = ownURL
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.cfg.Node+"/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement to the node")
	}
	resp, err := u.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "announcement to the node")
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("announcement to the node at %s: got status %s, want 204", u.cfg.Node, resp.Status)
	}
	return nil
}

// Announce sends announcements at intervals until ctx ends. It ignores failures, because
// the node may be restarting.
func (u *Upstream) Announce(ctx context.Context, ownURL string) {
	interval := u.cfg.AnnounceInterval
	if interval <= 0 {
		interval = defaultAnnounceInterval
	}
	for {
		_ = u.AnnounceOnce(ctx, ownURL)
		if !sleep(ctx, interval) {
			return
		}
	}
}

// Run serves the upstream on cfg.Listen until ctx ends. It then announces that it is
// draining and waits for the calls in flight. ready, if not nil, is called with the URL.
func Run(ctx context.Context, cfg Config, ready func(url string)) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-in upstream")
	}
	u := New(cfg)
	ownURL := "http://" + listener.Addr().String()
	server := &http.Server{Handler: u, ReadHeaderTimeout: announceTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if cfg.Node != "" {
		go u.Announce(ctx, ownURL)
	}
	if ready != nil {
		ready(ownURL)
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "serve the stand-in upstream")
	case <-ctx.Done():
	}
	u.Drain()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if cfg.Node != "" {
		_ = u.AnnounceOnce(stopCtx, ownURL) // if this fails, the node notices the missing announcements
	}
	return server.Shutdown(stopCtx)
}
