package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that ends at once, with requests in flight, because a second SIGTERM
// reaches it while it stops.
func TestSecondSIGTERMDoesNotEndAStop(t *testing.T) {
	text := "[node]\nhost = h\ndata_centre = d\nservice = s\nupstream = 127.0.0.1:1\n"
	for _, key := range []string{"[listen]\ncallers", "peers", "announcements", "ready", "metrics", "[store]\naddress"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		text += key + " = " + l.Addr().String() + "\n"
		l.Close()
	}
	settings := writeTestFile(t, t.TempDir(), "serve.ini", text+"[terms]\n")
	node, _ := startChild(t, `"started"`, "serve", "--settings", settings)
	began := time.Now()
	for range 3 {
		node.signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case <-node.exited:
	case <-time.After(15 * time.Second):
		t.Fatal("the node did not stop within 15 s")
	}
	if state := node.cmd.ProcessState; !state.Success() {
		t.Errorf("the process ended after %v with %v, want an orderly stop", time.Since(began), state)
	}
}
