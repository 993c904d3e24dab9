package roster

import (
	"slices"
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
)

// Digest states what the sender knows, in a few bytes.
type Digest struct {
	From mesh.Member
	Root uint64 // hash of all records; zero if they are not to be compared
	// Version is that of the declaration; zero if the sender has none. Age is the time since
	// the store confirmed to any node that it is the newest, if Confirmed is set.
	Version   uint64
	Age       time.Duration
	Confirmed bool
	// ReadRound and Substitute are the sender's readState, for nodes of its data centre.
	ReadRound  uint64
	Substitute mesh.Host
	// Claim and Entries are those of a node of an earlier version, whose digests list all
	// records, or are sent to one.
	Claim   uint64
	Entries []Seen
	// Evacuations is the hash of what the sender knows of evacuated data centres, zero if it
	// knows of none, and EvacuationState is all that it knows, if it has changed or differs from
	// what the receiver knows. Replies counts the digests to which this one replies.
	Evacuations     uint64
	EvacuationState *evacuation.State
	Replies         uint8
	Era             uint64 // highest era of the store that the sender knows of
}

// Summary replies to a Digest with another hash: it holds the hash of each bucket.
type Summary struct {
	From    mesh.Member
	Buckets []uint64
}

// Versions replies to a Summary: it lists the versions of the records in the buckets that
// differ. The receiver replies with its newer records and requests those that are newer at
// the sender.
type Versions struct {
	From    mesh.Member
	Buckets []uint8
	Entries []Seen
}

// News carries records that may be newer than those of the receiver, and nodes that are
// taken for silent.
type News struct {
	Records []Record
	Silent  []Seen
}

// Ask requests the records of some hosts, the declaration, or both.
type Ask struct {
	From        mesh.Member
	Hosts       []mesh.Host
	Declaration bool
}

// Declaration carries the operator's declaration as the platform stores it, and the position
// at the store that follows it, if it is known.
type Declaration struct {
	Version     uint64
	Raw         []byte
	Offset      uint64
	OffsetKnown bool
	// Evacuations is what the sender knows of evacuated data centres up to Offset. Nodes of
	// earlier versions leave it out.
	Evacuations *evacuation.State
	Era         uint64 // of the store, in which it gave out the offset
}

// MessageName implements mesh.Message.
func (Digest) MessageName() string { return "roster-digest" }

// MessageName implements mesh.Message.
func (Summary) MessageName() string { return "roster-summary" }

// MessageName implements mesh.Message.
func (Versions) MessageName() string { return "roster-versions" }

// MessageName implements mesh.Message.
func (News) MessageName() string { return "roster-news" }

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "roster-ask" }

// MessageName implements mesh.Message.
func (Declaration) MessageName() string { return "roster-declaration" }

func init() {
	mesh.RegisterMessage(Digest{})
	mesh.RegisterMessage(Summary{})
	mesh.RegisterMessage(Versions{})
	mesh.RegisterMessage(News{})
	mesh.RegisterMessage(Ask{})
	mesh.RegisterMessage(Declaration{})
}

// Deliver handles a message from a peer, the node from, and queues the replies for Outgoing. The roster
// holds only the version of the declaration: if sendDeclaration is true, the caller must
// send the declaration to the returned member.
func (r *Roster) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message) (to mesh.Member, sendDeclaration bool) {
	r.lastMessage = now
	r.recordAlive(from)
	switch m := m.(type) {
	case Digest:
		r.handleDigest(now, m)
	case Summary:
		r.compareSummary(now, m)
	case Versions:
		r.compareVersions(now, m)
	case News:
		r.handleNews(now, m)
	case Ask:
		if len(m.Hosts) > 0 {
			r.sendRecords(m.From, m.Hosts)
		}
		if m.Declaration {
			return m.From, true
		}
	}
	return mesh.Member{}, false
}

// digest returns the digest of this node.
func (r *Roster) digest(now time.Duration) Digest {
	d := r.announcement(now)
	d.Root = r.root()
	return d
}

// handleDigest compares the declarations, and replies with the hashes of the buckets if the
// records differ.
func (r *Roster) handleDigest(now time.Duration, d Digest) {
	r.compareDeclaration(now, d)
	r.compareReadState(now, d)
	r.evacuations.SeeEra(now, d.Era)
	r.compareEvacuations(now, d)
	if len(d.Entries) > 0 {
		r.answerListingDigest(now, d)
		return
	}
	switch d.Root {
	case 0:
	case r.root():
		r.markUnknown(func(mesh.Host) bool { return true })
	default:
		r.send(d.From, Summary{From: r.self.Member, Buckets: slices.Clone(r.buckets[:])})
	}
}

// answerListingDigest exchanges records with a node of an earlier version, and lets it know
// that this node lives: it takes nodes without a new heartbeat for silent.
func (r *Roster) answerListingDigest(now time.Duration, d Digest) {
	buckets := make([]uint8, bucketCount)
	for i := range buckets {
		buckets[i] = uint8(i)
	}
	r.compareVersions(now, Versions{From: d.From, Buckets: buckets, Entries: d.Entries})
	own := r.self.seen(false)
	own.Beat = uint64(now)
	r.send(d.From, Digest{From: r.self.Member, Claim: r.self.Claim, Version: r.declaration.version, Entries: []Seen{own}})
}

// sendRecords sends the records of some hosts to a peer that has requested them.
func (r *Roster) sendRecords(to mesh.Member, hosts []mesh.Host) {
	var news News
	for _, host := range hosts {
		if host == r.self.Member.Node.Host {
			news.Records = append(news.Records, r.self)
		} else if e := r.entries[host]; e != nil && e.confirmed {
			news.Records = append(news.Records, e.record)
			if e.silent {
				news.Silent = append(news.Silent, e.seen())
			}
		}
	}
	r.send(to, news)
}

// handleNews merges records and forwards to some partners those that change where work
// can be sent.
func (r *Roster) handleNews(now time.Duration, m News) {
	for _, rec := range m.Records {
		if r.merge(now, rec) {
			r.changedHosts = append(r.changedHosts, rec.Member.Node.Host)
		}
	}
	for _, s := range m.Silent {
		r.learnSilence(now, s)
	}
	if len(m.Records) > 0 {
		r.synced = true
	}
}
