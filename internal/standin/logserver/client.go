package logserver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cardamomhatch/internal/logservice"
)

// Client returns a client that calls the server directly, without a network. It
// returns the same errors as the HTTP client.
func (s *Server) Client() logservice.Client { return directClient{s} }

type directClient struct{ server *Server }

// Append implements logservice.Client.
func (c directClient) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, replyLost, err := c.server.append(ctx, stream, data)
	if err != nil {
		if ctx.Err() != nil {
			return 0, fmt.Errorf("append at stand-in log: %w: %w", logservice.ErrUnknown, err)
		}
		return 0, fmt.Errorf("append at stand-in log: %w", err)
	}
	if replyLost {
		return 0, fmt.Errorf("append at stand-in log: %w: reply was lost", logservice.ErrUnknown)
	}
	return offset, nil
}

// Read implements logservice.Client.
func (c directClient) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logservice.Page, error) {
	page, err := c.server.read(ctx, stream, from, max, wait)
	if err == nil {
		return page, nil
	}
	var truncated *logservice.ErrTruncated
	if errors.As(err, &truncated) || errors.Is(err, logservice.ErrUnavailable) {
		return logservice.Page{}, fmt.Errorf("read from stand-in log: %w", err)
	}
	return logservice.Page{}, fmt.Errorf("read from stand-in log: %w: %w", logservice.ErrUnavailable, err)
}
