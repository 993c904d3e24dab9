package config

import (
	"testing"

	"cardamomhatch/internal/mesh"
)

// Guards against a late join record that brings a removed node back, and against a
// node that cannot rejoin after it has folded its removal.
func TestRemovedNodeRejoinsOnlyAfterReadingRemoval(t *testing.T) {
	s := New()
	oldMember := mesh.Member{Node: mesh.NodeID{Host: "a", Incarnation: 1}}
	newMember := oldMember
	newMember.Node.Incarnation = 2
	token := byte(0)
	fold := func(after uint64, build func(Header) ([]byte, error)) VerdictKind {
		t.Helper()
		token++
		data, err := build(Header{Token: Token{token}, By: oldMember.Node, After: after})
		if err != nil {
			t.Fatal(err)
		}
		return s.Fold(s.Offset(), data).Kind
	}
	join := func(m mesh.Member) func(Header) ([]byte, error) {
		return func(h Header) ([]byte, error) { return NewNodeJoined(h, m) }
	}
	leave := func(successor mesh.NodeID) func(Header) ([]byte, error) {
		return func(h Header) ([]byte, error) { return NewNodeLeft(h, oldMember.Node, successor) }
	}
	steps := []struct {
		after uint64 // the author has folded the records before this one
		build func(Header) ([]byte, error)
		want  VerdictKind
	}{
		{0, join(oldMember), Accepted},
		{1, leave(mesh.NodeID{}), Accepted},
		{1, join(oldMember), Conflict}, // made before the node folded its removal
		{3, join(oldMember), Accepted},
		{4, leave(newMember.Node), Accepted}, // a node whose leave names a successor may not rejoin
		{5, join(oldMember), Conflict},
		{6, join(newMember), Accepted},
		{7, join(oldMember), Conflict},
	}
	for i, step := range steps {
		if got := fold(step.after, step.build); got != step.want {
			t.Errorf("record %d: verdict %v, want %v", i, got, step.want)
		}
	}
}
