package node

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/peer"
)

const (
	configStream    = "config"
	snapshotsStream = "snapshots"
	maxReadRecords  = 1000 // per read
	// readLongPoll is how long the log service waits for a new record before it
	// returns an empty result. It is well below evidence.FreshFor: evidence from
	// a read is dated from the start of the read and must last until the next
	// read has returned.
	readLongPoll       = 500 * time.Millisecond
	readPolicyInterval = 100 * time.Millisecond       // between calls of LogReadPolicy.ReadsLog
	readTimeout        = readLongPoll + 4*time.Second // tolerates a slow log service
	appendTimeout      = 5 * time.Second
	maxQueuedAppends   = 256 // further appends fail with errAppendQueueFull
	maxLogBackoff      = 2 * time.Second
)

// errAppendQueueFull means that the record was not sent to the log service.
var errAppendQueueFull = errors.Wrap(logservice.ErrUnavailable, "too many appends are waiting")

// nodeMetrics holds the counters that this package updates.
type nodeMetrics struct {
	refusedCalls, relayedResponses, incompleteResponses, failedAttempts metrics.Counter
}

func newNodeMetrics(r metrics.Registry) nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return nodeMetrics{
		refusedCalls:        counter("calls.refused"),
		relayedResponses:    counter("answers.relayed"),
		incompleteResponses: counter("answers.cut"),
		failedAttempts:      counter("attempts.failed"),
	}
}

func newDiscardStdLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// startLoop runs f in a goroutine, for which Close waits.
func (n *Node) startLoop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// runTicker passes a Tick event to the state machine every engine.TickInterval
// until the node is closed.
func (n *Node) runTicker() {
	ticker := time.NewTicker(engine.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.Step(&engine.Tick{})
		case <-n.closed:
			return
		}
	}
}

// contextUntilClosed returns a context that ends when the node is closed or the
// limit has passed.
func (n *Node) contextUntilClosed(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-n.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// sleep waits for d. It returns false as soon as the node is closed.
func (n *Node) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.closed:
		return false
	}
}

// newBackoff returns a backoff for one loop. The jitter differs between loops with
// different IDs.
func (n *Node) newBackoff(loopID uint64) *peer.Backoff {
	return peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, loopID)), maxLogBackoff)
}

// readLog reads the config stream until the node is closed.
func (n *Node) readLog() {
	backoff := n.newBackoff(1)
	var next uint64
	for {
		if !n.shouldReadLog() {
			if !n.sleep(readPolicyInterval) {
				return
			}
			continue
		}
		next = n.nextOffset(next)
		sentAt := n.now()
		ctx, cancel := n.contextUntilClosed(readTimeout)
		page, err := n.cfg.Log.Read(ctx, configStream, next, maxReadRecords, readLongPoll)
		cancel()
		select {
		case <-n.closed:
			return
		default:
		}
		if err == nil {
			backoff.Reset()
			n.Step(&engine.LogRead{SentAt: sentAt, From: next, Page: page})
			if count := len(page.Records); count > 0 {
				next = page.Records[count-1].Offset + 1
			}
			continue
		}
		n.Step(&engine.LogReadFailed{Err: err})
		if first, truncated := truncatedAt(err); truncated {
			n.readSnapshot()
			next = max(next, first)
		}
		if !n.sleep(backoff.Next()) {
			return
		}
	}
}

func (n *Node) shouldReadLog() bool {
	r, ok := n.cfg.Machine.(LogReadPolicy)
	if !ok {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return r.ReadsLog()
}

// truncatedAt returns the offset of the first retained record if the log service
// reports that it no longer has the records asked for.
func truncatedAt(err error) (first uint64, truncated bool) {
	var t *logservice.ErrTruncated
	if !errors.As(err, &t) {
		return 0, false
	}
	return t.First, true
}

// nextOffset returns the offset to read next: that of the state machine if it is
// an OffsetProvider, and otherwise afterLastRead.
func (n *Node) nextOffset(afterLastRead uint64) uint64 {
	o, ok := n.cfg.Machine.(OffsetProvider)
	if !ok {
		return afterLastRead
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return o.LogOffset()
}

// readSnapshot reports the last record of the snapshots stream. It first reads
// one record from the start to learn the head of the stream.
func (n *Node) readSnapshot() {
	ctx, cancel := n.contextUntilClosed(readTimeout)
	defer cancel()
	page, err := n.cfg.Log.Read(ctx, snapshotsStream, 0, 1, 0)
	if first, truncated := truncatedAt(err); truncated {
		page, err = n.cfg.Log.Read(ctx, snapshotsStream, first, 1, 0)
	}
	if err == nil && page.Head > 0 {
		page, err = n.cfg.Log.Read(ctx, snapshotsStream, page.Head-1, 1, 0)
	}
	if err != nil {
		n.logger.Warn("cannot read configuration snapshot", "err", err)
		return
	}
	if count := len(page.Records); count > 0 {
		n.Step(&engine.SnapshotRead{Data: page.Records[count-1].Data})
	}
}

type appendJob struct {
	stream, requestID string
	data              []byte
}

// enqueueAppend queues a record. If the queue is full, it reports the append as
// failed.
func (n *Node) enqueueAppend(job appendJob) {
	select {
	case n.appends <- job:
	default:
		n.Step(&engine.AppendEnded{RequestID: job.requestID, Err: errAppendQueueFull})
	}
}

// runAppends appends queued records one at a time. It tries each record once,
// because only the state machine can decide whether it is safe to append it
// again. After a failure it backs off before the next record.
func (n *Node) runAppends() {
	backoff := n.newBackoff(2)
	for {
		select {
		case job := <-n.appends:
			ctx, cancel := n.contextUntilClosed(appendTimeout)
			_, err := n.cfg.Log.Append(ctx, job.stream, job.data)
			cancel()
			n.Step(&engine.AppendEnded{RequestID: job.requestID, Err: err})
			if err == nil {
				backoff.Reset()
			} else if !n.sleep(backoff.Next()) {
				return
			}
		case <-n.closed:
			return
		}
	}
}
