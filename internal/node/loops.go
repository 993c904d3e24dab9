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
	readMax         = 1000 // records per read
	// readWait is well below evidence.FreshFor: what a read proves is dated from
	// its start and must last until the answer to the next one.
	readWait      = 500 * time.Millisecond
	readSkip      = 100 * time.Millisecond   // between two questions whether to read
	readTimeout   = readWait + 4*time.Second // a slow log still answers
	appendTimeout = 5 * time.Second
	appendQueue   = 256
	logBackoffMax = 2 * time.Second
)

// errAppendQueueFull means that the record did not leave this node.
var errAppendQueueFull = errors.Wrap(logservice.ErrUnavailable, "too many appends are waiting")

// nodeMetrics are the counters of the shell.
type nodeMetrics struct {
	refused, relayed, cut, failed metrics.Counter
}

func newNodeMetrics(r metrics.Registry) nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return nodeMetrics{
		refused: counter("calls.refused"),
		relayed: counter("answers.relayed"),
		cut:     counter("answers.cut"),
		failed:  counter("attempts.failed"),
	}
}

func discardStandardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func (n *Node) loop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

func (n *Node) tick() {
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

// untilClosed returns a context that ends with the node or after the limit.
func (n *Node) untilClosed(limit time.Duration) (context.Context, context.CancelFunc) {
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

// pause waits and reports whether the node is still open.
func (n *Node) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.closed:
		return false
	}
}

func (n *Node) jitter(stream uint64) *peer.Backoff {
	return peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, stream)), logBackoffMax)
}

// readLog reads the config stream for as long as the node is open.
func (n *Node) readLog() {
	backoff := n.jitter(1)
	var next uint64
	for {
		if !n.readsLog() {
			if !n.pause(readSkip) {
				return
			}
			continue
		}
		next = n.nextOffset(next)
		asked := n.now()
		ctx, cancel := n.untilClosed(readTimeout)
		page, err := n.cfg.Log.Read(ctx, configStream, next, readMax, readWait)
		cancel()
		select {
		case <-n.closed:
			return
		default:
		}
		if err == nil {
			backoff.Reset()
			n.Step(&engine.LogRead{SentAt: asked, From: next, Page: page})
			if count := len(page.Records); count > 0 {
				next = page.Records[count-1].Offset + 1
			}
			continue
		}
		n.Step(&engine.LogReadFailed{Err: err})
		if first, truncated := n.cfg.Truncated(err); truncated {
			n.readSnapshot()
			next = max(next, first)
		}
		if !n.pause(backoff.Next()) {
			return
		}
	}
}

func (n *Node) readsLog() bool {
	r, ok := n.cfg.Machine.(LogReadPolicy)
	if !ok {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return r.ReadsLog()
}

func truncatedAt(err error) (first uint64, truncated bool) {
	var t *logservice.ErrTruncated
	if !errors.As(err, &t) {
		return 0, false
	}
	return t.First, true
}

func (n *Node) nextOffset(read uint64) uint64 {
	o, ok := n.cfg.Machine.(OffsetProvider)
	if !ok {
		return read
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return o.LogOffset()
}

// readSnapshot reports the last record of the snapshots stream. Its head is
// learned by a read from the start that asks for one record.
func (n *Node) readSnapshot() {
	ctx, cancel := n.untilClosed(readTimeout)
	defer cancel()
	page, err := n.cfg.Log.Read(ctx, snapshotsStream, 0, 1, 0)
	if first, truncated := n.cfg.Truncated(err); truncated {
		page, err = n.cfg.Log.Read(ctx, snapshotsStream, first, 1, 0)
	}
	if err == nil && page.Head > 0 {
		page, err = n.cfg.Log.Read(ctx, snapshotsStream, page.Head-1, 1, 0)
	}
	if err != nil {
		n.logger.Warn("snapshot cannot be read", "err", err)
		return
	}
	if count := len(page.Records); count > 0 {
		n.Step(&engine.SnapshotRead{Data: page.Records[count-1].Data})
	}
}

type appendJob struct {
	stream, token string
	data          []byte
}

func (n *Node) enqueueAppend(job appendJob) {
	select {
	case n.appends <- job:
	default:
		n.Step(&engine.AppendEnded{RequestID: job.token, Err: errAppendQueueFull})
	}
}

// runAppends appends one record after the other. Each is tried once, because
// the machine decides whether it is safe to append again; after a failure the
// next one waits for the backoff.
func (n *Node) runAppends() {
	backoff := n.jitter(2)
	for {
		select {
		case job := <-n.appends:
			ctx, cancel := n.untilClosed(appendTimeout)
			_, err := n.cfg.Log.Append(ctx, job.stream, job.data)
			cancel()
			n.Step(&engine.AppendEnded{RequestID: job.token, Err: err})
			if err == nil {
				backoff.Reset()
			} else if !n.pause(backoff.Next()) {
				return
			}
		case <-n.closed:
			return
		}
	}
}
