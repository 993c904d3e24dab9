package roster

import (
	"cmp"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// partnerSet holds the partners of a node.
type partnerSet struct {
	alive  []mesh.Member // every node that is not silent and has not left
	chosen []mesh.Member // the partners
	silent []mesh.Member // nodes that would be partners if they were not silent
}

// currentPartners returns the partners of the node.
func (r *Roster) currentPartners() *partnerSet {
	if r.partnersKnown {
		return &r.partners
	}
	var all, alive []mesh.Member
	for _, e := range r.entries {
		if e.record.Left {
			continue
		}
		all = append(all, e.record.Member)
		if !e.silent {
			alive = append(alive, e.record.Member)
		}
	}
	slices.SortFunc(alive, func(a, b mesh.Member) int { return cmp.Compare(a.Node.Host, b.Node.Host) })
	r.partners = partnerSet{alive: alive, chosen: r.choosePartners(slices.Clone(alive))}
	for _, m := range r.choosePartners(all) {
		if r.entries[m.Node.Host].silent {
			r.partners.silent = append(r.partners.silent, m)
		}
	}
	r.random.Shuffle(len(r.partners.chosen), func(i, j int) {
		r.partners.chosen[i], r.partners.chosen[j] = r.partners.chosen[j], r.partners.chosen[i]
	})
	r.partnersKnown = true
	return &r.partners
}

// choosePartners returns the members with the highest rendezvous scores for the node's
// host: remotePartners in other data centres, and localPartners, if there are as many, in
// its own. It may reorder members.
func (r *Roster) choosePartners(members []mesh.Member) []mesh.Member {
	if len(members) <= partnerCount {
		return members
	}
	mesh.RankMembers(string(r.self.Member.Node.Host), members)
	var local, remote []mesh.Member
	for _, m := range members {
		if m.DataCentre == r.self.Member.DataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	localCount := min(len(local), max(localPartners, partnerCount-len(remote)))
	return append(local[:localCount:localCount], remote[:partnerCount-localCount]...)
}

// chooseReceiver returns the node that receives the digest of this round: mostly a partner,
// sometimes a silent partner or any node that is not silent. It returns false if no other
// node is known.
func (r *Roster) chooseReceiver(now time.Duration) (mesh.Member, bool) {
	partners := r.currentPartners()
	switch share := r.random.Float64(); {
	case len(partners.chosen) == 0 && len(partners.silent) == 0:
		return mesh.Member{}, false
	case len(partners.silent) > 0 && (share < silentPartnerShare || len(partners.chosen) == 0):
		return partners.silent[r.random.IntN(len(partners.silent))], true
	case share > 1-r.randomShare(now):
		return partners.alive[r.random.IntN(len(partners.alive))], true
	}
	r.nextPartner = (r.nextPartner + 1) % len(partners.chosen)
	return partners.chosen[r.nextPartner], true
}

// gossip queues a message to up to gossipFanout random partners. The partners differ from
// node to node, so a change spreads as fast as with random receivers, but over connections
// that are already open.
func (r *Roster) gossip(m mesh.Message) { r.gossipTo(r.currentPartners().chosen, m) }

func (r *Roster) gossipTo(receivers []mesh.Member, m mesh.Message) {
	start := 0
	if len(receivers) > gossipFanout {
		start = r.random.IntN(len(receivers))
	}
	for i := range min(gossipFanout, len(receivers)) {
		r.send(receivers[(start+i)%len(receivers)], m)
	}
}

// localPartnersOf returns the partners in the node's own data centre, or all partners if
// there are none.
func (r *Roster) localPartnersOf(partners []mesh.Member) []mesh.Member {
	var local []mesh.Member
	for _, m := range partners {
		if m.DataCentre == r.self.Member.DataCentre {
			local = append(local, m)
		}
	}
	if len(local) == 0 {
		return partners
	}
	return local
}
