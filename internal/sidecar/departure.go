package sidecar

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/roster"
)

const (
	// departureWait bounds how long the acknowledgement that the upstream leaves waits for
	// the store. Upstreams wait a second for the acknowledgement.
	departureWait = 400 * time.Millisecond
	// firstDepartureLimit is the time limit of the first attempt to write a departure. If its
	// connection has gone silent, another attempt fits into departureWait. A second write of the
	// same departure under the same key has no effect.
	firstDepartureLimit = 200 * time.Millisecond
	// historyWait is the time from the start of a node in which the store or a peer is
	// expected to tell of departures that earlier incarnations have acknowledged. It leaves
	// peers time for several digests, in case the store is down.
	historyWait = 2 * time.Second
	// departureKeyPrefix and the host form the key of a departure in the directory.
	departureKeyPrefix = "departure/"
)

// storedRecord is a record of the directory: either that of a node, or a departure that the
// node on the host DepartureOf has acknowledged. They have separate keys, so that a node that
// starts again does not overwrite the departure.
type storedRecord struct {
	roster.Record
	DepartureOf mesh.Host `json:",omitempty"`
}

// decodeStoredRecord decodes and checks a record of the directory.
func decodeStoredRecord(raw []byte) (storedRecord, error) {
	var r storedRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, err
	}
	if r.DepartureOf == "" {
		return r, r.Check()
	}
	if r.Departure.IsZero() || r.Departure.StartTime < 0 {
		return r, errors.Errorf("departure %+v of %s is invalid", r.Departure, r.DepartureOf)
	}
	return r, nil
}

// storeDepartures writes each new departure of the local upstream to the store, until the
// node shuts down.
func (n *Node) storeDepartures() {
	backoff := peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, 3)), maxStoreBackoff) // 3: other jitter than in the other loops
	for {
		select {
		case <-n.runCtx.Done():
			return
		case <-n.departures:
		}
		limit := firstDepartureLimit
		n.retryStoreCall(backoff, "publish departure", func() error {
			err := n.storeDeparture(limit)
			limit = storeTimeout
			return err
		})
	}
}

// storeDeparture writes the departure of the local upstream to the store within the limit.
func (n *Node) storeDeparture(limit time.Duration) error {
	n.mu.Lock()
	d := n.tracker.Departure()
	n.mu.Unlock()
	era, err := n.publishDeparture(n.cfg.Self.Node.Host, d, limit)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if era < n.era {
		return errors.Errorf("the departure was stored in era %d, and %d has begun", era, n.era)
	}
	n.setStoredDeparture(d)
	return nil
}

// publishDeparture writes the departure of the upstream on a host to the store within the limit,
// and returns the era in which the store acknowledged it.
func (n *Node) publishDeparture(host mesh.Host, d roster.Departure, limit time.Duration) (era uint64, err error) {
	record, err := json.Marshal(struct { // a storedRecord without the fields of a node
		DepartureOf mesh.Host
		Departure   roster.Departure
	}{host, d})
	if err != nil {
		return 0, err
	}
	ctx, cancel := n.context(limit)
	defer cancel()
	era, err = n.cfg.Directory.Publish(ctx, departureKeyPrefix+string(host), record)
	n.observeStoreEra()
	return era, err
}

// setStoredDeparture records that the store holds the departure. n.mu must be held.
func (n *Node) setStoredDeparture(d roster.Departure) {
	n.storedDeparture = d
	close(n.departureStored)
	n.departureStored = make(chan struct{})
}

// requestDepartureWrite makes storeDepartures write the departure of the local upstream, unless
// the store holds it. n.mu must be held.
func (n *Node) requestDepartureWrite() {
	if n.tracker.Departure() == n.storedDeparture {
		return
	}
	select {
	case n.departures <- struct{}{}:
	default: // a write is due already
	}
}

// awaitDepartureStored waits until the store holds the departure of the local upstream, so that
// the node's next incarnation learns of it even if this one and its peers end now. After
// departureWait, the peers that the departure was sent to must do.
func (n *Node) awaitDepartureStored() {
	timer := time.NewTimer(departureWait)
	defer timer.Stop()
	for {
		n.mu.Lock()
		d, changed := n.tracker.Departure(), n.departureStored
		stored := n.storedDeparture == d
		n.mu.Unlock()
		if stored {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			n.cfg.Log.Write(eventlog.Observation, "departure acknowledged but not stored", "instance", d.Instance, "born", d.StartTime)
			return
		case <-n.runCtx.Done():
			return
		}
	}
}

// learnDeparture takes over a departure that an earlier incarnation of this node has
// acknowledged. source is used for the log. n.mu must be held.
func (n *Node) learnDeparture(d roster.Departure, source string) {
	if !n.tracker.LearnDeparture(n.now(), d) {
		return
	}
	n.publishPhase(n.now())
	n.requestDepartureWrite()
	n.cfg.Log.Write(eventlog.Observation, "departure learned", "source", source, "instance", d.Instance, "born", d.StartTime,
		"sequence", d.Sequence, "deregistered", d.Deregistered)
}
