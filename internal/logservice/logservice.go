// Package logservice is the client side of the platform's log service, the only
// place where the project keeps durable or agreed state. It separates three
// outcomes of an append: taken, not taken, and unknown. Treating the third as
// one of the others would lose or duplicate records.
package logservice

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	Records []Record `json:"records"`
	First   uint64   `json:"first"` // first retained offset
	Head    uint64   `json:"head"`  // offset after the last record
}

// Client appends to and reads from the streams of one log service. It is safe
// for concurrent use.
type Client interface {
	// Append returns the offset of the new record. Errors match ErrUnavailable,
	// ErrUnknown or ErrTooLarge.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns at most max records from offset on. It waits up to wait if
	// there are none. Errors match ErrUnavailable or *ErrTruncated.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}

var (
	// ErrUnavailable means that the log did not take the request.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrUnknown means that the log may or may not have taken the record.
	ErrUnknown = errors.New("log service may have taken the record")
	// ErrTooLarge means that the log refuses records of this size at any time.
	ErrTooLarge = errors.New("record is too large for the log service")
)

// ErrTruncated means that records at the requested offset are no longer kept.
type ErrTruncated struct {
	First uint64 // first retained offset
}

// Error names the first retained offset.
func (e *ErrTruncated) Error() string {
	return fmt.Sprintf("log records before offset %d are no longer kept", e.First)
}
