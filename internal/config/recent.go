package config

import (
	"cardamomhatch/internal/mesh"
)

// tokenEntry is what is remembered of a folded record.
type tokenEntry struct {
	offset  uint64
	verdict *Verdict // nil: accepted
}

// oldShares are the shares of a workspace that was deleted at offset deleted.
type oldShares struct {
	source  version
	deleted uint64
}

// expiry is one entry to forget. Exactly one of its fields besides offset is set.
type expiry struct {
	offset    uint64
	token     Token
	object    string
	key       string
	node      mesh.NodeID
	workspace mesh.Workspace
}

// recent is what the state remembers for Window records and then forgets, in
// the order it was learnt. See Window for why this is safe.
type recent struct {
	tokens    map[Token]tokenEntry
	deleted   map[string]version // object key to the change that deleted it
	withdrawn map[string]version // key ID
	departed  map[mesh.NodeID]departure
	oldShares map[mesh.Workspace]oldShares
	queue     []expiry
}

func newRecent() recent {
	return recent{
		tokens:    map[Token]tokenEntry{},
		deleted:   map[string]version{},
		withdrawn: map[string]version{},
		departed:  map[mesh.NodeID]departure{},
		oldShares: map[mesh.Workspace]oldShares{},
	}
}

func (r *recent) addToken(t Token, offset uint64, v Verdict) {
	e := tokenEntry{offset: offset}
	if v.Kind != Accepted {
		e.verdict = &v
	}
	r.tokens[t] = e
	r.queue = append(r.queue, expiry{offset: offset, token: t})
}

func (r *recent) addDeleted(object string, v version) {
	r.deleted[object] = v
	r.queue = append(r.queue, expiry{offset: v.Offset, object: object})
}

func (r *recent) addWithdrawn(id string, v version) {
	r.withdrawn[id] = v
	r.queue = append(r.queue, expiry{offset: v.Offset, key: id})
}

func (r *recent) addDeparted(d departure) {
	r.departed[d.Node] = d
	r.queue = append(r.queue, expiry{offset: d.Source.Offset, node: d.Node})
}

// addOldShares remembers the shares of a workspace that was deleted.
// A holder that has not heard of it may still use them: the first shares after a
// new declaration of the workspace must not start at once. Fresh evidence is at
// most seconds old, and Window records take longer than that to append.
func (r *recent) addOldShares(ws mesh.Workspace, v version, deleted uint64) {
	r.oldShares[ws] = oldShares{v, deleted}
	r.queue = append(r.queue, expiry{offset: deleted, workspace: ws})
}

// forget drops what was learnt more than Window records before offset. An entry
// that was renewed since stays until its later expiry.
func (r *recent) forget(offset uint64) {
	done := 0
	for done < len(r.queue) && offset-r.queue[done].offset > Window {
		r.drop(r.queue[done])
		done++
	}
	clear(r.queue[:done])
	r.queue = r.queue[done:]
}

func (r *recent) drop(e expiry) {
	switch {
	case e.object != "":
		if r.deleted[e.object].Offset == e.offset {
			delete(r.deleted, e.object)
		}
	case e.key != "":
		if r.withdrawn[e.key].Offset == e.offset {
			delete(r.withdrawn, e.key)
		}
	case !e.node.IsZero():
		if r.departed[e.node].Source.Offset == e.offset {
			delete(r.departed, e.node)
		}
	case e.workspace != "":
		if r.oldShares[e.workspace].deleted == e.offset {
			delete(r.oldShares, e.workspace)
		}
	default:
		delete(r.tokens, e.token)
	}
}
