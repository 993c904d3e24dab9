package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	Method, Host, Path, Key string
	Remaining               time.Duration // how long the client waits
	Body                    string
}

// result is what a client sees of one request.
type result struct {
	ID        string
	Sent      time.Time // when its last byte was sent
	Ended     time.Time
	Status    int  // zero: no answer
	Complete  bool // the answer is complete
	Seal      string
	Bytes     int
	Err       error
	Connected bool
}

var ids sync.Mutex

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	return fmt.Sprintf("%016x", rand.Uint64())
}

func (r request) encode(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", r.Method, r.Path, r.Host, id, r.Remaining.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", r.Key)
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return b.String() + "\r\n" + r.Body
}

// send sends a request on a new connection and waits for its answer.
func send(record *Record, address string, r request) result {
	res := result{ID: newID()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.Err, res.Ended = err, time.Now()
		record.add(event{Kind: "refused", ID: res.ID, At: res.Ended, Where: address, Detail: err.Error()})
		return res
	}
	defer conn.Close()
	res.Connected = true
	conn.SetDeadline(time.Now().Add(r.Remaining))
	_, err = io.WriteString(conn, r.encode(res.ID))
	res.Sent = time.Now()
	record.add(event{Kind: "sent", ID: res.ID, At: res.Sent, Where: address, Detail: r.Method + " " + r.Path})
	if err == nil {
		err = res.receive(bufio.NewReader(conn), r.Method)
	}
	res.finish(record, address, err)
	return res
}

// receive reads one answer.
func (res *result) receive(from *bufio.Reader, method string) error {
	resp, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	res.Status, res.Seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	n, err := io.Copy(io.Discard, resp.Body)
	res.Bytes = int(n)
	if err != nil {
		return err
	}
	res.Complete = true
	return nil
}

func (res *result) finish(record *Record, address string, err error) {
	res.Ended, res.Err = time.Now(), err
	e := event{Kind: "answered", ID: res.ID, At: res.Ended, Where: address, Detail: fmt.Sprintf("status %d, %d bytes, seal %q", res.Status, res.Bytes, res.Seal)}
	if !res.Complete {
		e.Kind = "cut"
		e.Detail = fmt.Sprintf("no complete answer: status %d, %d bytes, %v", res.Status, res.Bytes, err)
	}
	record.add(e)
}
