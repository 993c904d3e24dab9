// Package logservice is the client side of the platform's append-only log.
package logservice

import (
	"context"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the result of a read: records in offset order, the first retained
// offset, and the offset after the last record of the stream.
type Page struct {
	Records     []Record
	First, Head uint64
}

// Client appends to and reads from streams.
type Client interface {
	// Append returns the offset of the new record. Errors are ErrUnavailable
	// (not taken) or ErrUnknown (may have been taken).
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns records from offset on and waits up to wait if there are none.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}
