package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipelineCase }

// slowReader reads in small pieces with pauses, like a client on a slow line.
type slowReader struct {
	conn  net.Conn
	piece int
	pause time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.conn.Read(p[:min(len(p), s.piece)])
}

// pipelineCase stops one node in order while clients have sent further safe requests on
// their connections before the first answer, and read their answers slowly.
func pipelineCase(r *Record, trouble bool) ([]string, int) {
	const (
		clients = 12
		timeout = 5 * time.Second
		size    = 30_000 // bytes of an answer, the largest of stock-check on the sheet
	)
	m := newMesh(r)
	defer m.stop()
	front := m.add("lager", "hafnarfjordur", 55)
	m.add("lager", "kopavogur", 55)
	m.add("lager", "mosfellsbaer", 55)
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "shop.example", Prefix: "/stock/", Type: "safe", Service: "lager", Timeout: "5000ms", Target: "1500ms"}.resource("r-stock"),
		service("lager"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	began := time.Now()
	stopAt := began.Add(1500 * time.Millisecond)
	if trouble {
		time.AfterFunc(time.Until(stopAt), func() {
			r.note("SIGTERM to %s", front.Name)
			front.signal(syscall.SIGTERM)
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first []result // of the first request of each connection
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(began.Add(time.Second + time.Duration(i)*150*time.Millisecond)))
			results := pipeline(r, front.Outbound, 3, request{Method: "GET", Host: "shop.example", Path: fmt.Sprintf("/stock/w400-b%d", size), Key: "key-a-00000000000000", Remaining: timeout})
			mu.Lock()
			first = append(first, results[0])
			mu.Unlock()
		}()
	}
	wg.Wait()
	return judgeStop(r, first, stopAt, timeout, trouble)
}

// pipelinePause is the time between the requests that a client sends on one connection
// without waiting for answers.
const pipelinePause = 50 * time.Millisecond

// pipeline sends n requests on one connection, before the first is answered, and reads their
// answers slowly.
func pipeline(record *Record, address string, n int, req request) []result {
	results := make([]result, n)
	dialer := net.Dialer{Timeout: time.Second, Control: smallWindow}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		results[0].Err = err
		return results
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(req.Remaining))
	for i := range results {
		results[i].ID, results[i].Connected = newID(), true
		io.WriteString(conn, req.encode(results[i].ID))
		results[i].Sent = time.Now()
		record.add(event{Kind: "sent", ID: results[i].ID, At: results[i].Sent, Where: address, Detail: fmt.Sprintf("%s %s, number %d on %s", req.Method, req.Path, i+1, conn.LocalAddr())})
		time.Sleep(pipelinePause)
	}
	reader := bufio.NewReaderSize(slowReader{conn, 2048, 5 * time.Millisecond}, 2048)
	for i := range results {
		err := results[i].receive(reader, req.Method)
		results[i].finish(record, address, err)
		if err != nil {
			break
		}
	}
	return results
}

// smallWindow gives a client the small receive window that links of the platform have.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }); e != nil {
		return e
	}
	return err
}
