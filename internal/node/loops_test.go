package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/logservice"
)

// scriptedLog is a log service whose config stream holds the records from first
// up to but not including head, and whose snapshots stream ends with a snapshot at
// offset 8. An append of "bad" fails.
type scriptedLog struct {
	first, head  uint64
	failuresLeft int           // reads of the config stream that are still to fail
	readOffsets  []uint64      // requested offsets of the config stream
	appended     []string      // stream and data of each append
	delay        time.Duration // of each read of the config stream
}

var errLogDown = errors.New("log service is down")

func (l *scriptedLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	l.appended = append(l.appended, stream+" "+string(data))
	if string(data) == "bad" {
		return 0, errLogDown
	}
	return 1, nil
}

func (l *scriptedLog) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Page, error) {
	if stream == snapshotsStream {
		return logservice.Page{Records: []logservice.Record{{Offset: from, Data: []byte{byte(from)}}}, Head: 9}, nil
	}
	l.readOffsets = append(l.readOffsets, from)
	time.Sleep(l.delay)
	if l.failuresLeft > 0 {
		l.failuresLeft--
		return logservice.Page{}, errLogDown
	}
	if from < l.first {
		return logservice.Page{}, fmt.Errorf("read: %w", &logservice.ErrTruncated{First: l.first})
	}
	if from == l.head {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return logservice.Page{Head: l.head}, ctx.Err()
	}
	return logservice.Page{Records: []logservice.Record{{Offset: from}}, First: l.first, Head: l.head}, nil
}

// startNodeWithLog starts a node without listeners, so that it can run in virtual time.
func startNodeWithLog(log logservice.Client) (*Node, *fakeMachine) {
	m := &fakeMachine{seen: make(chan engine.Event, 1<<12)}
	n := must(New(Config{Machine: m, AllowPlaintext: true, Log: log}))
	n.Start()
	return n, m
}

// Guards against evidence that expires between two reads of a slow log service
// when the log is its only source. A read is evidence, for evidence.FreshFor from
// its start, that the node is not isolated.
func TestLogReadsKeepEvidenceFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, m := startNodeWithLog(&scriptedLog{head: 0, delay: 400 * time.Millisecond})
		time.Sleep(20 * time.Second)
		n.Close()
		var reads []*engine.LogRead
		for _, ev := range m.events {
			if read, ok := ev.(*engine.LogRead); ok {
				reads = append(reads, read)
			}
		}
		for i := 2; i < len(reads); i++ {
			// Read i is sent when read i-1 has returned. Until then the evidence of
			// read i-2 is the newest.
			if age := reads[i].SentAt - reads[i-2].SentAt; age > evidence.FreshFor*2/3 {
				t.Errorf("evidence of read %d is %s old when the next read has returned, want at most 2/3 of evidence.FreshFor", i-2, age)
			}
		}
		if len(reads) < 20 {
			t.Errorf("%d log reads in 20 s, want at least 20", len(reads))
		}
	})
}

// policyMachine asks for log reads only while readsLog is set.
type policyMachine struct {
	*fakeMachine
	readsLog bool
}

func (m *policyMachine) ReadsLog() bool { return m.readsLog }

// Guards against a node of a large fleet that reads the log although its relays
// do so for it, and against one that does not read when it has to.
func TestLogReaderObeysPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{}
		m := &policyMachine{fakeMachine: &fakeMachine{}}
		n := must(New(Config{Machine: m, AllowPlaintext: true, Log: log}))
		n.Start()
		time.Sleep(5 * time.Second)
		n.WithLock(func() { m.readsLog = true })
		time.Sleep(time.Second)
		n.Close()
		if reads := len(log.readOffsets); reads == 0 || reads > 3 {
			t.Errorf("%d log reads, want 1 to 3: none in the first 5 s and some in the last second", reads)
		}
	})
}

// Guards against reads that skip or repeat records, are dated later than they
// were sent, are retried without backoff while the log is down, or never
// recover from dropped records.
func TestLogReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{first: 5, head: 7, failuresLeft: 3, delay: 10 * time.Millisecond}
		n, m := startNodeWithLog(log)
		time.Sleep(2 * time.Second)
		n.Close()
		want := []uint64{0, 0, 0, 0, 5, 6, 7, 7}
		if len(log.readOffsets) < len(want) || len(log.readOffsets) > len(want)+2 {
			t.Fatalf("log reads at offsets %v, want %v and at most 2 more", log.readOffsets, want)
		}
		for i := range want {
			if log.readOffsets[i] != want[i] {
				t.Fatalf("log reads at offsets %v, want %v first", log.readOffsets, want)
			}
		}
		var failed, records int
		var snapshot []byte
		for _, ev := range m.events {
			switch e := ev.(type) {
			case *engine.LogReadFailed:
				failed++
			case *engine.SnapshotRead:
				snapshot = e.Data
			case *engine.LogRead:
				records += len(e.Page.Records)
				if n.now()-e.SentAt < log.delay {
					t.Errorf("read at offset %d is dated %s, want the time at which it was sent", e.From, e.SentAt)
				}
			}
		}
		if failed != 4 || records != 2 || len(snapshot) != 1 || snapshot[0] != 8 {
			t.Fatalf("%d failed reads, %d records, snapshot %v; want 4 failed reads (3 errors, 1 truncation), 2 records and the snapshot at offset 8", failed, records, snapshot)
		}
	})
}

// Guards against an append without a result, a second try of an append, and
// missing ticks.
func TestAppendsAndTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{}
		m := &fakeMachine{seen: make(chan engine.Event, 1<<12)}
		ticks := 0
		m.hook = func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
			if _, ok := ev.(*engine.Tick); ok {
				if ticks++; ticks == 1 {
					out = append(out, engine.Effect{Kind: engine.Append, RequestID: "a", Data: []byte("bad")},
						engine.Effect{Kind: engine.AppendSnapshot, RequestID: "b", Data: []byte("good")})
				}
			}
			return out, true
		}
		n := must(New(Config{Machine: m, AllowPlaintext: true, Log: log}))
		n.Start()
		time.Sleep(time.Second + engine.TickInterval/2)
		n.Close()
		if ticks != int(time.Second/engine.TickInterval) {
			t.Errorf("%d ticks in 1 s, want one every engine.TickInterval", ticks)
		}
		results := map[string]error{}
		for _, ev := range m.events {
			if e, ok := ev.(*engine.AppendEnded); ok {
				results[e.RequestID] = e.Err
			}
		}
		if len(results) != 2 || results["a"] != errLogDown || results["b"] != nil {
			t.Errorf("append results %v, want errLogDown for a and nil for b", results)
		}
		if len(log.appended) != 2 || log.appended[0] != "config bad" || log.appended[1] != "snapshots good" {
			t.Errorf("appended %q, want config bad and then snapshots good", log.appended)
		}
	})
}

// Guards against effects executed out of order, and against a deadlock when
// executing an effect passes a new event to the machine.
func TestEffectsKeepOrder(t *testing.T) {
	var order []string
	m := &fakeMachine{}
	m.hook = func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		if e, ok := ev.(*engine.KeyWithdrawalRequested); ok {
			return append(out, engine.Effect{Kind: engine.Decided, RequestID: e.KeyID + "1"},
				engine.Effect{Kind: engine.Decided, RequestID: e.KeyID + "2"}), true
		}
		return out, true
	}
	var n *Node
	n = must(New(Config{Machine: m, AllowPlaintext: true, OnDecision: func(requestID string, _ *engine.Decision) {
		order = append(order, requestID)
		if requestID == "a1" {
			n.Step(&engine.KeyWithdrawalRequested{KeyID: "b"})
		}
	}}))
	n.Step(&engine.KeyWithdrawalRequested{KeyID: "a"})
	if len(order) != 4 || order[1] != "a2" || order[2] != "b1" || order[3] != "b2" {
		t.Fatalf("effects were executed in the order %v, want a1 a2 b1 b2", order)
	}
}

// Guards against a call that is aborted although the machine has decided on its
// response in the step that cancelled the attempt.
func TestCancelKeepsDecidedResponse(t *testing.T) {
	n := must(New(Config{Machine: &fakeMachine{}, AllowPlaintext: true}))
	c := &call{node: n, id: 1, ready: make(chan struct{}, 1)}
	n.addCall(c)
	cancelled := 0
	c.setCancel(func() { cancelled++ })
	batch := []engine.Effect{{Kind: engine.Cancel, Call: 1}, {Kind: engine.Refuse, Call: 1}, {Kind: engine.Cancel, Call: 1}}
	n.execute(&batch[0], batch[1:2])
	if cancelled != 1 || len(c.inbox) != 0 {
		t.Fatalf("Cancel followed by a response: cancelled %d times, %d effects queued; want 1 and 0", cancelled, len(c.inbox))
	}
	n.execute(&batch[1], nil)
	n.execute(&batch[2], nil)
	if len(c.inbox) != 2 || c.inbox[0].Kind != engine.Refuse || c.inbox[1].Kind != engine.Cancel {
		t.Fatalf("queued effects %v, want Refuse and then Cancel", c.inbox)
	}
}

// Guards against an engine that does not implement Machine or OffsetProvider.
func TestEngineImplementsMachine(t *testing.T) {
	var _ Machine = (*engine.Node)(nil)
	var _ OffsetProvider = (*engine.Node)(nil)
	n := must(New(Config{Machine: engine.New(engine.Config{}), AllowPlaintext: true}))
	n.Step(&engine.Tick{})
	if n.nextOffset(7) != 0 { // 7 is returned if the machine is no OffsetProvider
		t.Fatal("nextOffset did not return the offset of the engine, which is 0")
	}
}
