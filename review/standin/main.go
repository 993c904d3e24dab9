// Command standin plays the cases of the review: it starts the project's program as separate
// processes, with stand-ins for the platform's store, the backends and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// event is one line of the record.
type event struct {
	Kind, ID, Where, Detail string
	At                      time.Time
}

// Record holds what was sent, run and answered.
type Record struct {
	mu     sync.Mutex
	begin  time.Time
	events []event
	path   string
}

func newRecord(path string) *Record { return &Record{path: path, begin: time.Now()} }

func (r *Record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *Record) note(format string, args ...any) {
	r.add(event{Kind: "note", At: time.Now(), Detail: fmt.Sprintf(format, args...)})
}

// all returns the events in the order of their times.
func (r *Record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]event(nil), r.events...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// write writes the record to its file, with times in seconds since the start.
func (r *Record) write(summary []string) {
	var b strings.Builder
	for _, line := range summary {
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintln(&b)
	for _, e := range r.all() {
		fmt.Fprintf(&b, "%8.3f %-9s %-10s %-26s %s\n", e.At.Sub(r.begin).Seconds(), e.Kind, e.ID, e.Where, e.Detail)
	}
	if err := os.WriteFile(r.path, []byte(b.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// running is the mesh of the case, to be stopped if the case cannot go on.
var running atomic.Pointer[Mesh]

// unable ends the program, and the processes that it has started, because the case could not
// run.
func unable(format string, args ...any) {
	if m := running.Load(); m != nil {
		m.stop()
	}
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	os.Exit(exitUnable)
}

// cases are the cases by name. A case returns the lines of its summary and its exit code.
var cases = map[string]func(r *Record, trouble bool) ([]string, int){}

func main() {
	// The processes that the cases start end with the thread that has started them
	// (Pdeathsig), so that thread must last.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		unable("usage: standin CASE RECORD")
	}
	if _, err := os.Stat(program); err != nil {
		unable("%s is missing: build it first", program)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		unable("interrupted")
	}()
	record := newRecord(os.Args[2])
	lines, code := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	record.write(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
	os.Exit(code)
}
