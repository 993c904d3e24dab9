package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/standin/logserver"
	"cardamomhatch/internal/standin/upstream"
)

// readHeaderTimeout limits how long a stand-in waits for the header of a request.
const readHeaderTimeout = 10 * time.Second

type logStandinCommand struct {
	Listen        string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Appends       int           `default:"300" help:"Maximum number of appends per second."`
	RetainRecords int           `help:"Maximum number of records to keep per stream; 0 keeps all."`
	RetainAge     time.Duration `help:"Maximum age of records to keep; 0 keeps all."`
}

// Run runs the stand-in log service until SIGINT or SIGTERM.
func (c *logStandinCommand) Run(ctx context.Context, s *streams) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the log stand-in")
	}
	log := logserver.New(logserver.Config{
		AppendsPerSecond: c.Appends, RetainRecords: c.RetainRecords, RetainAge: c.RetainAge,
	})
	server := &http.Server{Handler: log.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Fprintf(s.out, "log serves at http://%s\n", listener.Addr())
	select {
	case err := <-served:
		return errors.Wrap(err, "serve the log stand-in")
	case <-ctx.Done():
		return server.Close() // long-polling readers would delay a graceful shutdown
	}
}

type upstreamStandinCommand struct {
	Listen      string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Service     mesh.Service  `required:"" help:"Service to announce."`
	Node        string        `placeholder:"URL" help:"URL of the local listener of its node."`
	Slots       int           `default:"100" help:"Maximum number of concurrent calls."`
	Connections int           `default:"750" help:"Number of connections to announce."`
	Median      time.Duration `default:"20ms" help:"Median service time."`
	Spread      float64       `default:"0.3" help:"Standard deviation of the logarithm of the service time."`
	Seed        uint64        `default:"1" help:"Random seed for the service times."`
}

// Run runs one stand-in upstream until SIGINT or SIGTERM.
func (c *upstreamStandinCommand) Run(ctx context.Context, s *streams) error {
	return upstream.Run(ctx, upstream.Config{
		Service: c.Service, Slots: c.Slots, Connections: c.Connections, Queue: 2 * c.Slots,
		Median: c.Median, Spread: c.Spread, Node: c.Node, Seed: c.Seed, Listen: c.Listen,
		Name: string(c.Service),
	}, func(url string) { fmt.Fprintf(s.out, "upstream of %s serves at %s\n", c.Service, url) })
}
