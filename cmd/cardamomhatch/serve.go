package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/settings"
	"cardamomhatch/internal/sidecar"
	"cardamomhatch/platform"
)

type serveCommand struct {
	Settings string `env:"CARDAMOMHATCH_SETTINGS" required:"" placeholder:"FILE" help:"Settings of this node."`
}

const (
	// stopFraction is the fraction of the time until SIGKILL that requests in
	// progress may use. The rest is for closing connections and listeners.
	stopFraction    = 0.85
	logFlushTimeout = 100 * time.Millisecond // time to write the last lines of the log
)

// Run runs one sidecar node until SIGINT or SIGTERM, then shuts it down
// gracefully.
func (c *serveCommand) Run(ctx context.Context, s *streams) error {
	set, err := readSidecarSettings(c.Settings)
	if err != nil {
		return err
	}
	log := eventlog.New(s.out, "host", string(set.Host))
	defer log.Close(logFlushTimeout)
	node, err := newSidecar(set, log)
	if err != nil {
		log.Write(eventlog.Lifecycle, "start failed", "err", err)
		return err
	}
	node.Start()
	c.reloadOnSIGHUP(ctx, set, log)
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), time.Duration(stopFraction*float64(set.Terms.Grace)))
	defer cancel()
	node.Stop(stop)
	return nil
}

func readSidecarSettings(path string) (settings.Sidecar, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Sidecar{}, errors.Wrap(err, "settings")
	}
	return settings.ParseSidecar(filepath.Base(path), data)
}

// reloadOnSIGHUP reads the settings again on SIGHUP and logs whether they have
// changed. Addresses and terms stay as they were at the start of the node; changes
// to them take effect at the next start.
func (c *serveCommand) reloadOnSIGHUP(ctx context.Context, first settings.Sidecar, log *eventlog.Log) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			}
			set, err := readSidecarSettings(c.Settings)
			log.Write(eventlog.Lifecycle, "settings reloaded", "changed", err == nil && set != first, "err", err)
		}
	}()
}

func newSidecar(set settings.Sidecar, log *eventlog.Log) (*sidecar.Node, error) {
	listeners, err := listenSidecar(set)
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	store := platform.NewStore(set.Store.String(), func(call string, bytes int) {
		metrics.GetOrRegisterCounter("store.calls."+call, registry).Inc(1)
		metrics.GetOrRegisterCounter("store.bytes.read", registry).Inc(int64(bytes))
	})
	var seed [8]byte
	rand.Read(seed[:]) // crypto/rand does not fail
	return sidecar.New(sidecar.Config{
		Self: mesh.Member{
			Node:       mesh.NodeID{Host: set.Host, Incarnation: newIncarnation()},
			DataCentre: set.DataCentre, Service: set.Service,
			PeerAddress: set.Peers.String(), CallerAddress: set.Callers.String(),
		},
		Claim:           uint64(time.Now().UnixMilli()),
		Seed:            binary.LittleEndian.Uint64(seed[:]),
		UpstreamAddress: set.Upstream.String(),
		Listeners:       listeners,
		Dialect:         platform.Dialect(),
		Source:          store,
		Directory:       store,
		Bounds: sidecar.Bounds{
			Drain: set.Terms.Drain, Heartbeat: set.Terms.Heartbeat,
			Retry: retry.BudgetConfig{Ratio: set.Terms.RetryRatio, Allowance: set.Terms.RetryAllowance, Window: set.Terms.RetryWindow},
			Quota: ratelimit.Tolerance{Window: set.Terms.QuotaWindow, Overage: set.Terms.QuotaOverage, Slack: set.Terms.QuotaSlack},
		},
		Log:           log,
		Metrics:       registry,
		Announcements: platform.AnnounceHandler,
		Ready:         platform.ReadyHandler,
	}), nil
}

func listenSidecar(set settings.Sidecar) (l sidecar.Listeners, err error) {
	err = openListeners([]listenerSpec{
		{"callers", set.Callers, &l.Callers},
		{"peers", set.Peers, &l.Peers},
		{"announcements", set.Announcements, &l.Announcements},
		{"ready", set.Ready, &l.Ready},
		{"metrics", set.Metrics, &l.Metrics},
	})
	return l, err
}
