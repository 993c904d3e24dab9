package config

import (
	"cardamomhatch/internal/mesh"
)

// tokenEntry holds the offset and verdict of a folded record.
type tokenEntry struct {
	offset  uint64
	verdict *Verdict // nil: accepted
}

// oldShares describes the shares that a workspace had when it was deleted.
type oldShares struct {
	source  version // the record that assigned the shares
	deleted uint64  // offset of the change that deleted the workspace
}

// expiry identifies an entry that expires Window records after offset. Exactly one
// of the other fields is set.
type expiry struct {
	offset    uint64
	token     Token
	object    string
	keyID     string
	node      mesh.NodeID
	workspace mesh.Workspace
}

// recentEntries holds the entries that expire after Window records; queue has them
// in the order in which they were added. The comments on Window and, for oldShares,
// on addOldShares explain why they can expire.
type recentEntries struct {
	tokens    map[Token]tokenEntry
	deleted   map[string]version // object key to the change that deleted it
	withdrawn map[string]version // key ID to the record that withdrew it
	departed  map[mesh.NodeID]departure
	oldShares map[mesh.Workspace]oldShares
	queue     []expiry
}

func newRecentEntries() recentEntries {
	return recentEntries{
		tokens:    map[Token]tokenEntry{},
		deleted:   map[string]version{},
		withdrawn: map[string]version{},
		departed:  map[mesh.NodeID]departure{},
		oldShares: map[mesh.Workspace]oldShares{},
	}
}

func (r *recentEntries) addToken(t Token, offset uint64, v Verdict) {
	e := tokenEntry{offset: offset}
	if v.Kind != Accepted {
		e.verdict = &v
	}
	r.tokens[t] = e
	r.queue = append(r.queue, expiry{offset: offset, token: t})
}

func (r *recentEntries) addDeleted(object string, v version) {
	r.deleted[object] = v
	r.queue = append(r.queue, expiry{offset: v.Offset, object: object})
}

func (r *recentEntries) addWithdrawn(keyID string, v version) {
	r.withdrawn[keyID] = v
	r.queue = append(r.queue, expiry{offset: v.Offset, keyID: keyID})
}

func (r *recentEntries) addDeparted(d departure) {
	r.departed[d.Node] = d
	r.queue = append(r.queue, expiry{offset: d.Source.Offset, node: d.Node})
}

// addOldShares keeps the version of the shares of a deleted workspace. A holder
// that has not folded the deletion yet may still use its share, so the first shares
// after the workspace is declared again must not take effect at once. The entry may
// expire, since the evidence on which a holder uses its share is at most seconds
// old, and appending Window records takes longer than that.
func (r *recentEntries) addOldShares(ws mesh.Workspace, v version, deleted uint64) {
	r.oldShares[ws] = oldShares{v, deleted}
	r.queue = append(r.queue, expiry{offset: deleted, workspace: ws})
}

// expire removes the entries added more than Window records before offset. An
// entry that was renewed since stays until its later expiry.
func (r *recentEntries) expire(offset uint64) {
	expired := 0
	for expired < len(r.queue) && offset-r.queue[expired].offset > Window {
		r.remove(r.queue[expired])
		expired++
	}
	clear(r.queue[:expired])
	r.queue = r.queue[expired:]
}

func (r *recentEntries) remove(e expiry) {
	switch {
	case e.object != "":
		if r.deleted[e.object].Offset == e.offset {
			delete(r.deleted, e.object)
		}
	case e.keyID != "":
		if r.withdrawn[e.keyID].Offset == e.offset {
			delete(r.withdrawn, e.keyID)
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
