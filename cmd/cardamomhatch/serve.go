package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/intake"
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
	stopFraction = 0.85
	// nonRuntimeMemory is what the Go runtime does not count as its memory, in bytes: mostly
	// the pages of the binary that are in use.
	nonRuntimeMemory = 16 << 20
	logFlushTimeout  = 100 * time.Millisecond // time to write the last lines of the log
)

// Run runs one sidecar node until SIGINT or SIGTERM, then shuts it down
// gracefully.
func (c *serveCommand) Run(ctx context.Context, s *streams) error {
	// Before anything else: SIGHUP ends a process that does not handle it, and the settings may
	// change as soon as the platform has started the node.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	nodeSettings, err := readSidecarSettings(c.Settings)
	if err != nil {
		return err
	}
	log := eventlog.New(s.out, "host", string(nodeSettings.Host))
	defer log.Close(logFlushTimeout)
	node, err := newSidecar(nodeSettings, log)
	if err != nil {
		log.Write(eventlog.Lifecycle, "start failed", "err", err)
		return err
	}
	if nodeSettings.Limits.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		// A second line of defence: near the limit, the garbage collector runs more often.
		debug.SetMemoryLimit(intake.NewPlan(hostLimits(nodeSettings.Limits)).ProcessMemory - nonRuntimeMemory)
	}
	node.Start()
	c.reloadOnSIGHUP(ctx, hangup, nodeSettings, log)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(stopFraction*float64(nodeSettings.Terms.Grace)))
	defer cancel()
	node.Stop(stopCtx)
	return nil
}

func readSidecarSettings(path string) (settings.Sidecar, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Sidecar{}, errors.Wrap(err, "read settings")
	}
	return settings.ParseSidecar(filepath.Base(path), data)
}

// reloadOnSIGHUP reads the settings again after each signal in hangup and logs whether they differ
// from the initial ones. The running node keeps the initial settings; changes take effect
// at its next start.
func (c *serveCommand) reloadOnSIGHUP(ctx context.Context, hangup <-chan os.Signal, initial settings.Sidecar, log *eventlog.Log) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			}
			reread, err := readSidecarSettings(c.Settings)
			log.Write(eventlog.Lifecycle, "settings reloaded", "changed", err == nil && reread != initial, "err", err)
		}
	}()
}

func newSidecar(nodeSettings settings.Sidecar, log *eventlog.Log) (*sidecar.Node, error) {
	listeners, err := listenSidecar(nodeSettings)
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	store := platform.NewStore(nodeSettings.Store.String(), func(call string, bytes int) {
		metrics.GetOrRegisterCounter("store.calls."+call, registry).Inc(1)
		metrics.GetOrRegisterCounter("store.bytes.read", registry).Inc(int64(bytes))
	})
	var seed [8]byte
	rand.Read(seed[:]) // crypto/rand does not fail
	return sidecar.New(sidecar.Config{
		Self: mesh.Member{
			Node:       mesh.NodeID{Host: nodeSettings.Host, Incarnation: newIncarnation()},
			DataCentre: nodeSettings.DataCentre, Service: nodeSettings.Service,
			PeerAddress: nodeSettings.Peers.String(), CallerAddress: nodeSettings.Callers.String(),
		},
		Claim:           uint64(time.Now().UnixMilli()), // peers prefer a restarted node to its earlier incarnations
		Seed:            binary.LittleEndian.Uint64(seed[:]),
		UpstreamAddress: nodeSettings.Upstream.String(),
		Listeners:       listeners,
		Dialect:         platform.Dialect(),
		Source:          store,
		Directory:       store,
		Bounds: sidecar.Bounds{
			Drain: nodeSettings.Terms.Drain, Heartbeat: nodeSettings.Terms.Heartbeat,
			Retry:    retry.BudgetConfig{Ratio: nodeSettings.Terms.RetryRatio, Allowance: nodeSettings.Terms.RetryAllowance, Window: nodeSettings.Terms.RetryWindow},
			Quota:    ratelimit.Tolerance{Window: nodeSettings.Terms.QuotaWindow, Overage: nodeSettings.Terms.QuotaOverage, Slack: nodeSettings.Terms.QuotaSlack},
			Evacuate: nodeSettings.Terms.Evacuate,
			Cold:     sidecar.ColdTolerance{Overage: nodeSettings.Terms.ColdOverage, Slack: nodeSettings.Terms.ColdSlack},
		},
		HostLimits:    hostLimits(nodeSettings.Limits),
		UnsetSettings: nodeSettings.Unset,
		Log:           log,
		Metrics:       registry,
		Announcements: platform.AnnounceHandler,
		Ready:         platform.ReadyHandler,
	}), nil
}

// hostLimits returns what the settings say of the host. If the process may open fewer
// descriptors, that applies.
func hostLimits(l settings.Limits) intake.Host {
	h := intake.Host{Memory: int64(l.MemoryMB) << 20, Descriptors: cmp.Or(l.MaxDescriptors, intake.DefaultDescriptors)}
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && own.Cur < uint64(h.Descriptors) {
		h.Descriptors = int(own.Cur)
	}
	return h
}

func listenSidecar(nodeSettings settings.Sidecar) (l sidecar.Listeners, err error) {
	err = openListeners([]listenerSpec{
		{"callers", nodeSettings.Callers, &l.Callers},
		{"peers", nodeSettings.Peers, &l.Peers},
		{"announcements", nodeSettings.Announcements, &l.Announcements},
		{"ready", nodeSettings.Ready, &l.Ready},
		{"metrics", nodeSettings.Metrics, &l.Metrics},
	})
	return l, err
}
