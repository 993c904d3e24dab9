package logservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	pageSize     = 512
	pollWait     = 200 * time.Millisecond
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 2 * time.Second
)

// Folded is the view of a state that folds the stream and remembers tokens. It
// must be safe for concurrent use.
type Folded interface {
	// Next returns the next offset to fold.
	Next() uint64
	// Find returns the offset of the folded record with the token.
	Find(token string) (offset uint64, found bool)
}

// AppendOnce appends a record that carries token and returns the offset of the
// first copy. If an outcome is unknown it reads the stream for the record, and
// only then appends the same bytes again: a record that was late instead of lost
// then appears twice, and its token folds once. A record with a new token is
// never appended.
//
// The error matches ErrUnavailable if no attempt was taken, ErrUnknown if one
// may have been when ctx ended, and ErrTooLarge. A caller that gets ErrUnknown
// must keep the record and its token.
func AppendOnce(ctx context.Context, c Client, stream, token string, data []byte, state Folded) (uint64, error) {
	if offset, found := state.Find(token); found {
		return offset, nil
	}
	a := appender{client: c, stream: stream, token: token, data: data, state: state, from: state.Next()}
	wait := minRetryWait
	for {
		offset, err := a.attempt(ctx)
		if err == nil {
			return offset, nil
		}
		if !a.unknown {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("append of record %s: %w: %w", token, ErrUnknown, err)
		case <-time.After(wait):
			wait = min(2*wait, maxRetryWait)
		}
	}
}

type appender struct {
	client  Client
	stream  string
	token   string
	data    []byte
	state   Folded
	from    uint64 // every earlier record is known not to be the one
	unknown bool   // an attempt may have been taken
}

// attempt looks for an earlier copy if there can be one, and appends otherwise.
func (a *appender) attempt(ctx context.Context) (uint64, error) {
	if a.unknown {
		offset, found, err := a.search(ctx)
		if err != nil || found {
			return offset, err
		}
	}
	offset, err := a.client.Append(ctx, a.stream, a.data)
	if errors.Is(err, ErrUnknown) {
		a.unknown = true
	}
	return offset, err
}

// search reads to the head of the stream for a copy of the record.
func (a *appender) search(ctx context.Context) (uint64, bool, error) {
	for {
		if offset, found := a.state.Find(a.token); found {
			return offset, true, nil
		}
		page, err := a.client.Read(ctx, a.stream, a.from, pageSize, 0)
		var truncated *ErrTruncated
		if errors.As(err, &truncated) {
			if err := a.skip(ctx, truncated); err != nil {
				return 0, false, err
			}
			continue
		}
		if err != nil {
			return 0, false, err
		}
		for _, r := range page.Records {
			if bytes.Equal(r.Data, a.data) {
				return r.Offset, true, nil
			}
		}
		a.from += uint64(len(page.Records))
		if a.from >= page.Head {
			return 0, false, nil
		}
	}
}

// skip continues behind records that are no longer kept once the state has
// folded them, for example from a snapshot: it would know the token.
func (a *appender) skip(ctx context.Context, truncated *ErrTruncated) error {
	if next := a.state.Next(); next >= truncated.First {
		a.from = next
		return nil
	}
	select {
	case <-ctx.Done():
		return truncated
	case <-time.After(pollWait):
		return nil
	}
}
