package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cardamomhatch/internal/dev"
	"cardamomhatch/internal/mesh"
)

// stopTimeout limits the time of a graceful shutdown.
const stopTimeout = 30 * time.Second

type devCommand struct {
	Deployment string `enum:"hanskasmidjan,himalaya" default:"hanskasmidjan" help:"Example deployment: hanskasmidjan or himalaya."`
	ReadyFile  string `placeholder:"FILE" help:"Write addresses and keys as JSON to FILE when the mesh is ready."`
	Seed       uint64 `default:"1" help:"Seed of the stand-in upstreams."`
	TLS        bool   `help:"Use TLS with temporary certificates on the caller and peer listeners."`
}

// readyFile is the content of the file that dev writes when the mesh is ready.
type readyFile struct {
	Callers       []string                  `json:"callers"`   // URLs of the caller listeners
	Operators     []string                  `json:"operators"` // URLs of the operator listeners
	OperatorToken string                    `json:"operator_token"`
	Upstreams     []readyUpstream           `json:"upstreams"`
	Keys          map[mesh.Workspace]string `json:"keys"` // one API key per workspace, with its secret
	Routes        []readyRoute              `json:"routes"`
	Log           string                    `json:"log"` // URL of the log service
}

type readyUpstream struct {
	Service mesh.Service `json:"service"`
	URL     string       `json:"url"`
}

type readyRoute struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Priority   string `json:"priority"`
}

// Run runs the mesh until SIGINT or SIGTERM, then shuts it down gracefully.
func (c *devCommand) Run(ctx context.Context) error {
	logger := newLogger()
	m, err := dev.Start(ctx, dev.Options{Deployment: c.Deployment, Seed: c.Seed, TLS: c.TLS, Logger: logger})
	if err != nil {
		return errors.Wrap(err, "start the dev mesh")
	}
	if c.ReadyFile != "" {
		if err := writeReadyFile(c.ReadyFile, m); err != nil {
			m.Kill()
			return err
		}
	}
	printMesh(m)
	<-ctx.Done()
	logger.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(m.Stop(ctx), "stop the dev mesh")
}

func newLogger() *log.Logger {
	return log.NewWithOptions(os.Stderr, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
}

func writeReadyFile(path string, m *dev.Mesh) error {
	ready := readyFile{Keys: m.Keys, Log: m.LogURL, OperatorToken: m.OperatorToken}
	for _, h := range m.Hosts {
		ready.Callers = append(ready.Callers, h.CallerURL)
		ready.Operators = append(ready.Operators, h.OperatorURL)
		ready.Upstreams = append(ready.Upstreams, readyUpstream{h.UpstreamGroup.Service, h.UpstreamURL})
	}
	for _, r := range m.Declaration.Routes {
		ready.Routes = append(ready.Routes, readyRoute{r.Method, r.Pattern, r.Idempotent, r.Class.String()})
	}
	data, err := json.MarshalIndent(ready, "", "  ")
	if err != nil {
		return err
	}
	// Write to a temporary file and rename it, so that a reader polling for the file
	// never sees a partial one.
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return errors.Wrap(os.Rename(temporary, path), "write ready file")
}

func printMesh(m *dev.Mesh) {
	fmt.Printf("deployment %s serves: %d nodes\n", m.Deployment.Name, len(m.Hosts))
	for _, h := range m.Hosts {
		fmt.Printf("  %-24s %-10s callers %s\n", h.Name, h.DataCentre, h.CallerURL)
	}
}
