package roster

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// bucketCount is the number of parts in which two nodes whose records differ compare their
// hashes. The hashes of all buckets take about as many bytes as the versions of 20 records.
const bucketCount = 64

// Seen is the version of one record, given by claim and serial, and whether its node is
// taken for silent since.
type Seen struct {
	Host          mesh.Host
	Claim, Serial uint64
	Silent        bool
	Beat          uint64 // heartbeat counter, which nodes of earlier versions expect to grow
}

// olderThan reports whether s is an older version than other of the same node's record.
func (s Seen) olderThan(other Seen) bool {
	switch {
	case s.Claim != other.Claim:
		return s.Claim < other.Claim
	case s.Serial != other.Serial:
		return s.Serial < other.Serial
	}
	return !s.Silent && other.Silent
}

// hash returns the share of the version in the hash of its bucket.
func (s Seen) hash() uint64 {
	flag := uint64(0)
	if s.Silent {
		flag = 1
	}
	return rand.NewPCG(hostHash(s.Host)^s.Claim, s.Serial<<1|flag).Uint64() | 1 // never zero
}

func hostHash(host mesh.Host) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // never fails
	return h.Sum64()
}

func bucketOf(host mesh.Host) int { return int(hostHash(host) % bucketCount) }

// rehash updates the hashes after a change of the entry.
func (r *Roster) rehash(e *entry, now time.Duration) {
	b := &r.buckets[bucketOf(e.record.Member.Node.Host)]
	*b ^= e.hash
	e.hash = 0
	if e.listed(now) {
		e.hash = e.seen().hash()
	}
	*b ^= e.hash
}

// rehashSelf updates the hashes after a change of the node's own record.
func (r *Roster) rehashSelf() {
	b := &r.buckets[bucketOf(r.self.Member.Node.Host)]
	*b ^= r.selfHash
	r.selfHash = 0
	if !r.self.Left {
		r.selfHash = r.self.seen(false).hash()
	}
	*b ^= r.selfHash
}

// root returns the hash of all records.
func (r *Roster) root() uint64 {
	root := uint64(1)
	for _, b := range r.buckets {
		root = root*0x9e3779b97f4a7c15 + b
	}
	return root | 1 // zero stands for no hash
}

// versions returns the versions of the records in the given buckets.
func (r *Roster) versions(now time.Duration, buckets []uint8) []Seen {
	var wanted [bucketCount]bool
	for _, b := range buckets {
		wanted[b%bucketCount] = true
	}
	var out []Seen
	if wanted[bucketOf(r.self.Member.Node.Host)] && !r.self.Left {
		out = append(out, r.self.seen(false))
	}
	for host, e := range r.entries {
		if wanted[bucketOf(host)] && e.listed(now) {
			out = append(out, e.seen())
		}
	}
	return out
}

// compareSummary replies to the hashes of a peer with the versions of the buckets that
// differ.
func (r *Roster) compareSummary(now time.Duration, m Summary) {
	var differ []uint8
	for i := range min(len(m.Buckets), bucketCount) {
		if m.Buckets[i] != r.buckets[i] {
			differ = append(differ, uint8(i))
		}
	}
	r.markUnknown(func(host mesh.Host) bool {
		b := bucketOf(host)
		return b < len(m.Buckets) && m.Buckets[b] == r.buckets[b]
	})
	if len(differ) > 0 {
		r.send(m.From, Versions{From: r.self.Member, Buckets: differ, Entries: r.versions(now, differ)})
	}
}

// compareVersions sends the records of some buckets that a peer lacks or holds in an older
// version, and requests the records that this node lacks or holds in an older version.
func (r *Roster) compareVersions(now time.Duration, m Versions) {
	r.synced = true
	theirs := make(map[mesh.Host]Seen, len(m.Entries))
	var missing []mesh.Host
	for _, s := range m.Entries {
		theirs[s.Host] = s
		if r.lacks(s) {
			missing = append(missing, s.Host)
		}
		if s.Silent {
			r.learnSilence(now, s)
		}
	}
	r.markUnknown(func(host mesh.Host) bool {
		_, listed := theirs[host]
		return !listed && slices.Contains(m.Buckets, uint8(bucketOf(host)))
	})
	var news News
	for _, s := range r.versions(now, m.Buckets) {
		if theirs, ok := theirs[s.Host]; ok && !theirs.olderThan(s) {
			continue
		}
		r.appendNews(&news, s.Host)
	}
	for _, s := range m.Entries {
		if e := r.entries[s.Host]; e != nil && e.record.Left && s.olderThan(e.seen()) {
			news.Records = append(news.Records, e.record) // not among the versions
		}
	}
	if len(news.Records)+len(news.Silent) > 0 {
		r.send(m.From, news)
	}
	if len(missing) > 0 {
		r.send(m.From, Ask{From: r.self.Member, Hosts: missing})
	}
}

// lacks reports whether the record of the given version is to be requested.
func (r *Roster) lacks(s Seen) bool {
	if s.Host == r.self.Member.Node.Host {
		return s.Claim > r.self.Claim
	}
	e := r.entries[s.Host]
	if e == nil {
		return !s.Silent
	}
	return !e.confirmed || e.record.seen(false).olderThan(Seen{Claim: s.Claim, Serial: s.Serial})
}

// appendNews adds the current record of a host to the news, or its silence if the receivers
// most likely have the record.
func (r *Roster) appendNews(news *News, host mesh.Host) {
	if host == r.self.Member.Node.Host {
		news.Records = append(news.Records, r.self)
		return
	}
	e := r.entries[host]
	switch {
	case e == nil || !e.confirmed:
	case e.silent:
		news.Silent = append(news.Silent, e.seen())
	default:
		news.Records = append(news.Records, e.record)
	}
}

// sendChanges sends the changes since the last call to some partners.
func (r *Roster) sendChanges() {
	if len(r.changedHosts) == 0 {
		return
	}
	var news News
	for _, host := range r.changedHosts {
		r.appendNews(&news, host)
	}
	r.changedHosts = nil
	r.gossip(news)
}
