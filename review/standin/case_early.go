package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early"] = earlyCase }

const (
	uploadPiece  = 32_000 // bytes that a client sends at once
	uploadPause  = 10 * time.Millisecond
	uploadTime   = 3 * time.Second // deadline of a client, and timeout of the route
	answerAfter  = 200_000         // bytes after which the backend answers
	answerSize   = 4_000           // bytes of an answer
	uploadsTotal = 16
)

// uploadSizes are the sizes of the uploads in turn, in bytes.
var uploadSizes = []int{720_000, 1_500_000}

// uploadBackend is a backend that answers an upload before it has read all of it, keeps the
// connection and reads on. With early unset it answers at the end.
type uploadBackend struct {
	record *Record
	id     string
	early  bool

	mu       sync.Mutex
	received map[string]*upload
}

// upload is what a backend has received of one request.
type upload struct {
	node  string
	body  bytes.Buffer
	ended bool // the end of the body was received as the protocol frames it
	err   error
}

// serve serves one connection.
func (u *uploadBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nBackend-Load: 0,0,160\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBackend-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		id := req.Header.Get("Attempt-Id")
		up := &upload{}
		u.mu.Lock()
		u.received[id] = up
		u.mu.Unlock()
		u.record.add(event{Kind: "arrived", ID: id, At: time.Now(), Where: u.id, Detail: fmt.Sprintf("length %d, transfer encoding %v", req.ContentLength, req.TransferEncoding)})
		_, err = io.CopyN(&up.body, req.Body, answerAfter)
		if u.early && err == nil {
			u.answer(conn, req.URL.Path, id, up)
		}
		if err == nil {
			_, err = io.Copy(&up.body, req.Body)
		}
		up.ended, up.err = err == nil, err
		u.record.add(event{Kind: "received", ID: id, At: time.Now(), Where: u.id, Detail: fmt.Sprintf("%d bytes, complete as framed: %v, %v", up.body.Len(), up.ended, err)})
		if err != nil {
			return
		}
		if !u.early {
			u.answer(conn, req.URL.Path, id, up)
		}
	}
}

// answer accepts an upload, or rejects it if the path says so.
func (u *uploadBackend) answer(conn net.Conn, path, id string, up *upload) {
	status := "200 OK"
	if strings.HasSuffix(path, "/reject") {
		status = "413 Content Too Large"
	}
	fmt.Fprintf(conn, "HTTP/1.1 "+status+"\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nBackend-Load: 1,0,160\r\nContent-Length: %d\r\n\r\n%s",
		id, u.id, id, answerSize, strings.Repeat("a", answerSize))
	u.record.add(event{Kind: "responded", ID: id, At: time.Now(), Where: u.id, Detail: fmt.Sprintf("%s after %d bytes of the body", status, up.body.Len())})
}

// uploadBody returns a body in which every 8 bytes state the identity of the request and
// their own position.
func uploadBody(number uint32, size int) []byte {
	b := make([]byte, 0, size)
	for len(b) < size {
		b = binary.BigEndian.AppendUint32(b, number)
		b = binary.BigEndian.AppendUint32(b, uint32(len(b)/8))
	}
	return b[:size]
}

// earlyCase sends uploads in chunks to backends that answer before they have read the body.
func earlyCase(r *Record, trouble bool) ([]string, int) {
	m := newMesh(r)
	defer m.stop()
	u := &uploadBackend{record: r, early: trouble, received: map[string]*upload{}}
	for _, zone := range []string{"hafnarfjordur", "kopavogur", "mosfellsbaer"} {
		n := m.add("myndasafn", zone, 160)
		n.Backend.server.Close()
		// Another program takes the place of the plain backend at its address; one identity
		// is enough here, since no request may be mixed up between machines.
		var l net.Listener
		var err error
		for range 20 {
			if l, err = net.Listen("tcp", n.Backend.Address); !errors.Is(err, syscall.EADDRINUSE) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil {
			unable("listen: %v", err)
		}
		own := &uploadBackend{record: r, id: n.Backend.ID, early: u.early, received: u.received}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go own.serve(conn)
			}
		}()
	}
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "photos.example", Prefix: "/upload/", Type: "upload", Service: "myndasafn", Timeout: "3000ms", Target: "800ms", Priority: 1}.resource("r-upload"),
		service("myndasafn"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string][]byte{}
	accepted := map[string]bool{}
	for i := range uploadsTotal {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			path := "/upload/photo"
			if trouble && i%4 >= 2 {
				path = "/upload/reject"
			}
			body := uploadBody(uint32(i+1), uploadSizes[i%len(uploadSizes)])
			res := sendUpload(r, m.Nodes[i%len(m.Nodes)].Outbound, path, body)
			mu.Lock()
			defer mu.Unlock()
			sent[res.ID] = body
			if res.Complete && res.Status == 200 {
				accepted[res.ID] = true
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	whole, cut, changed, changedWhole, changedAccepted := 0, 0, 0, 0, 0
	var examples []string
	for id, body := range sent {
		up := u.received[id]
		if up == nil {
			continue
		}
		got := up.body.Bytes()
		same := commonPrefix(got, body)
		switch {
		case same == len(got) && up.ended && same == len(body):
			whole++
		case same == len(got) && !up.ended:
			cut++ // the backend can tell that the rest is missing
		default:
			changed++
			if up.ended {
				changedWhole++
				if accepted[id] {
					changedAccepted++
				}
			}
			if len(examples) < 6 {
				examples = append(examples, fmt.Sprintf("  %s: %d of %d bytes arrived, framed as complete: %v; from byte %d on they are others than the client sent there",
					id, len(got), len(body), up.ended, same))
			}
		}
	}
	lines := []string{fmt.Sprintf("uploads: %d, answered 200 to the client: %d; body whole: %d; body cut, and to be seen as cut: %d; OTHER BYTES in the body: %d, of them framed as complete: %d, of these answered 200: %d",
		len(sent), len(accepted), whole, cut, changed, changedWhole, changedAccepted)}
	lines = append(lines, examples...)
	if changed > 0 {
		return append(lines, "UNASKED is broken"), exitBroken
	}
	if whole+cut == 0 {
		unable("no upload reached a backend")
	}
	return append(lines, "the rule held"), exitHeld
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// sendUpload sends a body in chunks, piece by piece, and reads the answer meanwhile. It goes
// on sending after an early answer until the connection ends.
func sendUpload(record *Record, address, path string, body []byte) result {
	res := result{ID: newID()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.Err = err
		return res
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(uploadTime))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: photos.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nApi-Key: key-a-00000000000000\r\nTransfer-Encoding: chunked\r\n\r\n", path, res.ID, uploadTime.Milliseconds())
	record.add(event{Kind: "sent", ID: res.ID, At: time.Now(), Where: address, Detail: fmt.Sprintf("POST %s, %d bytes in chunks", path, len(body))})
	written := make(chan int, 1)
	go func() {
		n := 0
		for n < len(body) {
			piece := body[n:min(n+uploadPiece, len(body))]
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				break
			}
			n += len(piece)
			time.Sleep(uploadPause)
		}
		if n == len(body) {
			io.WriteString(conn, "0\r\n\r\n")
		}
		written <- n
	}()
	err = res.receive(bufio.NewReader(conn), http.MethodPost)
	res.finish(record, address, err)
	res.Sent = time.Now()
	n := <-written
	record.add(event{Kind: "written", ID: res.ID, At: time.Now(), Where: address, Detail: fmt.Sprintf("%d of %d bytes of the body", n, len(body))})
	return res
}
