package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// An upstream may answer with any bytes and close the connection. The client must return an
// error, or a response whose body ends, and never take fewer bytes than stated for a whole body.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "HTTP/1.0 200\r\n\r\nbody", "\x00\xff",
	} {
		f.Add([]byte(seed))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	responses := make(chan []byte)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			response := <-responses
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write(response)
			c.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, response []byte) {
		p := New(Config{Address: l.Addr().String(), DialTimeout: time.Second})
		go func() { responses <- response }()
		resp, err := p.Do(context.Background(), &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second)})
		if err != nil {
			return
		}
		defer resp.Close()
		body, err := io.ReadAll(io.LimitReader(resp, 1<<20))
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Errorf("%d bytes of a body of %d are taken for the whole", len(body), resp.ContentLength)
		}
		if err == nil && !bytes.Contains(response, []byte("\n")) {
			t.Errorf("%q is taken for a response", response)
		}
	})
}
