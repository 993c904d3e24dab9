package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	uploadChunk = 8 << 10 // divides the length of each upload
	// earlyShare is the part of the body that the back end has read when it answers early.
	earlyShare = 0.8
)

// uploadBody returns the body of an upload: each word of eight bytes holds its own position.
func uploadBody(length int) []byte {
	body := make([]byte, length)
	for i := 0; i < len(body); i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

// uploadBackend reads the bodies of uploads on a raw connection, so that it can answer before
// it has read a body and read on.
type uploadBackend struct {
	*Backend
	early bool
	mu    sync.Mutex
	found []string // violations
	seen  int      // uploads
}

// Listen begins to serve.
func (b *uploadBackend) Listen() {
	listener, err := net.Listen("tcp", b.node.App())
	if err != nil {
		b.lab.Fail("back end %s: %v", b.ID, err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serveConn(conn)
		}
	}()
	b.lab.Log("back end %s of %s starts at %s", b.ID, b.node.Service, b.node.App())
}

func (b *uploadBackend) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nContent-Length: 0\r\n\r\n", b.ID)
			continue
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.ID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBackend-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b.ID)
			return
		}
		if !b.serveUpload(conn, r) {
			return
		}
	}
}

// serveUpload answers one upload and compares its body, whatever has been answered. It returns
// false if the connection has ended.
func (b *uploadBackend) serveUpload(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	b.lab.Log("back end %s: %s arrives, length %d, encoding %v", b.ID, id, r.ContentLength, r.TransferEncoding)
	length, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/media/"))
	due := uploadBody(length)
	got := 0
	answered, wrong := false, -1
	buf := make([]byte, 4<<10)
	var err error
	for err == nil {
		var n int
		n, err = r.Body.Read(buf)
		for i := range n {
			if wrong < 0 && (got+i >= len(due) || buf[i] != due[got+i]) {
				wrong = got + i
			}
		}
		got += n
		if b.early && !answered && float64(got) >= earlyShare*float64(length) {
			b.answer(conn, id)
			b.lab.Log("back end %s: %s is answered after %d bytes of its body, the rest is read", b.ID, id, got)
			answered = true
		}
	}
	if err == io.EOF && !answered {
		b.answer(conn, id)
	}
	b.lab.Log("back end %s: the body of %s ends after %d of %d bytes, %v, first wrong byte %d", b.ID, id, got, len(due), err, wrong)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen++
	switch {
	case wrong >= 0:
		b.found = append(b.found, fmt.Sprintf("UNASKED: back end %s got other bytes from position %d on of the body of %s, and %d bytes in all of %d (end: %v)", b.ID, wrong, id, got, len(due), err))
	case err == io.EOF && got != len(due):
		b.found = append(b.found, fmt.Sprintf("UNASKED: the body of %s ended as a whole body at back end %s after %d of %d bytes", id, b.ID, got, len(due)))
	}
	return err == io.EOF
}

func (b *uploadBackend) answer(conn net.Conn, id string) {
	body := strings.Repeat("x", 6000)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, b.ID, id, len(body), body)
}

// earlyAnswer sends uploads in chunks to back ends that answer before they have read the body
// and read on.
func earlyAnswer(l *Lab) []string {
	front := l.AddNode("front", "a")
	media := l.AddNode("media", "a")
	l.Store.Put("keyed.op", "config", configuration(3, []route{
		{name: "r-media", prefix: "/media/", kind: "upload", service: "media", timeout: "8000ms", target: "3000ms"},
	}, []string{"front", "media"}))
	frontBackend := l.NewBackend(front, "i-front1", 100, 5*time.Millisecond)
	b := &uploadBackend{Backend: l.NewBackend(media, "i-media1", 100, 0), early: l.Trouble}
	front.Start()
	media.Start()
	frontBackend.Listen()
	frontBackend.Announce()
	b.Listen()
	b.Announce()
	l.AwaitReady()
	time.Sleep(calmTime)
	for i := range 3 { // from the machine of another service, and from that of the back end
		for _, u := range uploads {
			l.upload(front, requestID("front-"+u.name, i), u)
			l.upload(media, requestID("media-"+u.name, i), u)
		}
	}
	time.Sleep(500 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Log("%d uploads reached the back end", b.seen)
	return b.found
}

// upload is a kind of upload: its length in bytes, and whether it is sent in chunks.
type upload struct {
	name    string
	length  int
	chunked bool
}

var uploads = []upload{{"chunks", 704 << 10, true}, {"length", 704 << 10, false}, {"small", 352 << 10, false}}

// upload sends one upload, with a short pause after each part, as over the link of a client. It
// sends the whole body, whether or not it has got the answer.
func (l *Lab) upload(n *Node, id string, u upload) {
	conn, err := net.Dial("tcp", n.Outbound())
	if err != nil {
		l.Fail("%v", err)
	}
	defer conn.Close()
	framing := "Content-Length: " + strconv.Itoa(u.length)
	var w io.WriteCloser = nopCloser{conn}
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
		w = httputil.NewChunkedWriter(conn)
	}
	l.Log("%s: %s POST /media/%d is sent, %s", n.Name, id, u.length, framing)
	fmt.Fprintf(conn, "POST /media/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: 8000\r\nApi-Key: %s\r\n%s\r\n\r\n", u.length, host, id, tenantKey, framing)
	sent := make(chan error, 1)
	go func() {
		for body := uploadBody(u.length); len(body) > 0; body = body[uploadChunk:] {
			if _, err := w.Write(body[:uploadChunk]); err != nil {
				sent <- err
				return
			}
			time.Sleep(4 * time.Millisecond)
		}
		err := w.Close()
		if err == nil && u.chunked {
			_, err = io.WriteString(conn, "\r\n")
		}
		sent <- err
	}()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second)) // cannot fail on an open connection
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.Log("%s: %s gets no answer: %v", n.Name, id, err)
	} else {
		body, err := io.ReadAll(response.Body)
		l.Log("%s: %s gets %d, %d bytes, %v%s", n.Name, id, response.StatusCode, len(body), err, reason(response.Header))
	}
	l.Log("%s: the body of %s has been sent: %v", n.Name, id, <-sent)
}

// nopCloser is a writer whose Close does nothing.
type nopCloser struct{ io.Writer }

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }
