package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is one attempt of a client, or a call of a back end, which has no key.
type Request struct {
	Node      *Node // on whose machine it begins
	Method    string
	Path      string
	ID        string
	Key       string
	Remaining time.Duration
	Body      []byte
}

// Answer is what a client has got. Status is zero if the connection ended without a whole
// answer.
type Answer struct {
	Status int
	Body   []byte
	Header http.Header
	Err    error
}

// clients opens a connection for each request: on a kept one, net/http may send a request twice
// under one id.
var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// Send sends a request to the node of its machine and waits for the answer, until the client's
// deadline.
func (l *Lab) Send(ctx context.Context, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Node.Outbound()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	request.Header.Set("Attempt-Id", r.ID)
	request.Header.Set("Deadline-Remaining", strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	if r.Key != "" {
		request.Header.Set("Api-Key", r.Key)
	}
	l.Detail("%s: %s %s %s is sent, %d ms left", r.Node.Name, r.ID, r.Method, r.Path, r.Remaining.Milliseconds())
	response, err := clients.Do(request)
	if err != nil {
		l.Log("%s: %s gets no answer: %v", r.Node.Name, r.ID, err)
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		l.Log("%s: %s gets an answer %d that breaks off: %v", r.Node.Name, r.ID, response.StatusCode, err)
		return Answer{Header: response.Header, Err: err}
	}
	l.Log("%s: %s gets %d, %d bytes%s", r.Node.Name, r.ID, response.StatusCode, len(body), reason(response.Header))
	return Answer{Status: response.StatusCode, Body: body, Header: response.Header}
}

// reason returns what the program says of its own answer.
func reason(h http.Header) string {
	if r := h.Get("Cardamomhatch-Outcome"); r != "" {
		return ", " + r
	}
	return ""
}

// requestID returns an id that differs for each request of the case.
func requestID(prefix string, i int) string { return fmt.Sprintf("%s-%04d", prefix, i) }
