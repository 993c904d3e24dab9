package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// serveSettings writes settings of a serve process on free addresses and returns their file and the
// address for callers. The addresses are on a loopback address of this process, so that no other
// process takes a port before serve listens on it.
func serveSettings(t *testing.T) (file, callers string) {
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
	text := "[node]\nhost = h\ndata_centre = d\nservice = s\nupstream = 127.0.0.1:1\n"
	for _, key := range []string{"[listen]\ncallers", "peers", "announcements", "ready", "metrics", "[store]\naddress"} {
		l, err := net.Listen("tcp", own)
		if err != nil {
			t.Fatal(err)
		}
		if callers == "" {
			callers = l.Addr().String()
		}
		text += key + " = " + l.Addr().String() + "\n"
		l.Close()
	}
	return writeTestFile(t, t.TempDir(), "serve.ini", text+"[terms]\n"), callers
}

// Guards against a node that a change of its settings ends while it starts: SIGHUP ends a process
// that does not handle it.
func TestSIGHUPDuringTheStart(t *testing.T) {
	for range 5 {
		settings, callers := serveSettings(t)
		cmd := exec.Command(os.Args[0], "serve", "--settings", settings)
		cmd.Env = append(os.Environ(), mainVariable+"=1")
		if _, err := cmd.StdinPipe(); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			if conn, err := net.Dial("tcp", callers); err == nil {
				conn.Close()
				break
			}
		}
		_ = cmd.Process.Signal(syscall.SIGHUP) // an error means that it has ended
		select {
		case err := <-ended:
			t.Errorf("the process ended: %v", err)
			continue
		case <-time.After(200 * time.Millisecond):
		}
		_ = cmd.Process.Kill()
		<-ended
	}
}

// Guards against a node that ends at once, with requests in flight, because a second SIGTERM
// reaches it while it stops.
func TestSecondSIGTERMDoesNotEndAStop(t *testing.T) {
	settings, _ := serveSettings(t)
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
