// Package logservice is a client of the platform's log service, the only place where
// the project keeps durable state and state that all nodes must agree on. It
// distinguishes three outcomes of an append: appended, not appended and unknown.
// Treating an unknown outcome as one of the others would lose or duplicate records.
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
	First   uint64   `json:"first"` // first retained offset of the stream
	Head    uint64   `json:"head"`  // offset after the last record of the stream
}

// Client appends to and reads from the streams of one log service. It is safe
// for concurrent use.
type Client interface {
	// Append appends a record and returns its offset. Errors match ErrUnavailable,
	// ErrUnknown or ErrTooLarge.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns at most maxRecords records, starting at offset from. If there are
	// none yet, it waits for up to wait. Errors match ErrUnavailable or *ErrTruncated.
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Page, error)
}

var (
	// ErrUnavailable means that a read failed or that a record was not appended.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrUnknown means that the record may or may not have been appended.
	ErrUnknown = errors.New("log service may have appended the record")
	// ErrTooLarge means that the log service never accepts a record of this size.
	ErrTooLarge = errors.New("record is too large for the log service")
)

// ErrTruncated means that the record at the requested offset is no longer retained.
type ErrTruncated struct {
	First uint64 // first retained offset
}

// Error implements the error interface.
func (e *ErrTruncated) Error() string {
	return fmt.Sprintf("log records before offset %d are no longer retained", e.First)
}
