package roster

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Digest lists the versions of the records that the sender holds. The receiver replies
// with its newer records and requests the records that are newer at the sender.
// A digest without entries only announces a version of the declaration.
type Digest struct {
	From    mesh.Member
	Claim   uint64 // of the sender; receivers do not read it
	Entries []Seen // include the sender's own record
	Version uint64 // of the declaration; zero if the sender has none
}

// Seen is the version of one record, given by claim and serial, and the latest known
// heartbeat counter of its node.
type Seen struct {
	Host                mesh.Host
	Claim, Serial, Beat uint64
}

// News carries records that may be newer than those of the receiver.
type News struct{ Records []Record }

// Ask requests the records of some hosts, the declaration, or both.
type Ask struct {
	From        mesh.Member
	Hosts       []mesh.Host
	Declaration bool
}

// Declaration carries the operator's declaration as the platform stores it.
type Declaration struct {
	Version uint64
	Raw     []byte
}

// MessageName implements mesh.Message.
func (Digest) MessageName() string { return "roster-digest" }

// MessageName implements mesh.Message.
func (News) MessageName() string { return "roster-news" }

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "roster-ask" }

// MessageName implements mesh.Message.
func (Declaration) MessageName() string { return "roster-declaration" }

func init() {
	mesh.RegisterMessage(Digest{})
	mesh.RegisterMessage(News{})
	mesh.RegisterMessage(Ask{})
	mesh.RegisterMessage(Declaration{})
}

// Deliver handles a message from a peer and queues the replies for Outgoing. The roster
// holds only the version of the declaration: if sendDeclaration is true, the caller must
// send the declaration to the returned member.
func (r *Roster) Deliver(now time.Duration, m mesh.Message) (to mesh.Member, sendDeclaration bool) {
	r.lastMessage = now
	switch m := m.(type) {
	case Digest:
		return r.handleDigest(now, m)
	case News:
		r.handleNews(now, m)
	case Ask:
		if len(m.Hosts) > 0 {
			r.send(m.From, News{Records: r.records(m.Hosts)})
		}
		if m.Declaration {
			return m.From, true
		}
	}
	return mesh.Member{}, false
}

// digest returns the versions of all records in this roster.
func (r *Roster) digest() Digest {
	d := Digest{From: r.self.Member, Claim: r.self.Claim, Version: r.declarationVersion}
	d.Entries = make([]Seen, 0, len(r.entries)+1)
	d.Entries = append(d.Entries, Seen{r.self.Member.Node.Host, r.self.Claim, r.self.Serial, r.heartbeat})
	for host, e := range r.entries {
		d.Entries = append(d.Entries, Seen{host, e.record.Claim, e.record.Serial, e.heartbeat})
	}
	return d
}

// handleDigest exchanges records with the sender of a digest and requests the declaration
// if it is newer there. If the declaration is newer here, handleDigest returns the sender
// and true.
func (r *Roster) handleDigest(now time.Duration, d Digest) (to mesh.Member, sendDeclaration bool) {
	if len(d.Entries) > 0 {
		r.exchangeRecords(now, d)
	}
	switch {
	case d.Version > r.declarationVersion:
		r.send(d.From, Ask{From: r.self.Member, Declaration: true})
	case d.Version < r.declarationVersion:
		return d.From, true
	}
	return mesh.Member{}, false
}

// exchangeRecords sends the records that the sender of a digest lacks or holds in an older
// version, and requests the records that this node lacks or holds in an older version.
func (r *Roster) exchangeRecords(now time.Duration, d Digest) {
	r.synced = true
	var missing []mesh.Host
	seen := make(map[mesh.Host]Seen, len(d.Entries))
	for _, s := range d.Entries {
		seen[s.Host] = s
		if r.observe(now, s) {
			missing = append(missing, s.Host)
		}
	}
	var newer []Record
	if s, ok := seen[r.self.Member.Node.Host]; !ok || r.self.newer(s.Claim, s.Serial) {
		newer = append(newer, r.self)
	}
	for host, e := range r.entries {
		if s, ok := seen[host]; !ok || e.record.newer(s.Claim, s.Serial) {
			newer = append(newer, e.record)
		}
	}
	if len(newer) > 0 {
		r.send(d.From, News{Records: newer})
	}
	if len(missing) > 0 {
		r.send(d.From, Ask{From: r.self.Member, Hosts: missing})
	}
}

// observe updates the heartbeat of a node from an entry of a digest and reports
// whether the entry refers to a newer record than the known one. For this node's own
// host, such a record belongs to another incarnation.
func (r *Roster) observe(now time.Duration, s Seen) bool {
	if s.Host == r.self.Member.Node.Host {
		return s.Claim > r.self.Claim
	}
	e := r.entries[s.Host]
	if e == nil {
		return true
	}
	if e.record.Claim == s.Claim && s.Beat > e.heartbeat {
		e.heartbeat = s.Beat
		if now-e.lastAlive > silentAfter {
			r.changed = true // the node was silent, and work may be sent to it again
		}
		e.lastAlive = now
	}
	return s.Claim > e.record.Claim || (s.Claim == e.record.Claim && s.Serial > e.record.Serial)
}

// records returns the known records of the given hosts.
func (r *Roster) records(hosts []mesh.Host) []Record {
	out := make([]Record, 0, len(hosts))
	for _, host := range hosts {
		if host == r.self.Member.Node.Host {
			out = append(out, r.self)
		} else if e := r.entries[host]; e != nil {
			out = append(out, e.record)
		}
	}
	return out
}

// handleNews merges records and forwards to some partners those that change where work
// can be sent.
func (r *Roster) handleNews(now time.Duration, m News) {
	var changed []Record
	for _, rec := range m.Records {
		if r.merge(now, rec) {
			changed = append(changed, rec)
		}
	}
	if len(m.Records) > 0 {
		r.synced = true
	}
	if len(changed) > 0 {
		r.gossip(News{Records: changed})
	}
}
