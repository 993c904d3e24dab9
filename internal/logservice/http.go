package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// replyMargin is how long a read waits for its reply beyond the long poll.
	replyMargin = 5 * time.Second
	// appendTimeout bounds an append; afterwards its outcome is unknown.
	appendTimeout = 5 * time.Second
	// maxReply bounds the bytes of one reply.
	maxReply = 256 << 20
)

// HTTPClient is a Client that speaks HTTP with JSON:
//
//	POST /streams/STREAM/records               body is the record; 201 {"offset":N}
//	GET  /streams/STREAM/records?from=&max=&wait_ms=    200 Page, 410 {"first":N}
//
// Status 503 and 429 mean that the request was not taken.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client for the log service at base, for example
// http://127.0.0.1:9000. A nil transport means a new one with default settings.
func NewHTTPClient(base string, transport http.RoundTripper) *HTTPClient {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &HTTPClient{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: transport}}
}

func (c *HTTPClient) recordsURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Client.
func (c *HTTPClient) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, c.wrap("append", ErrUnavailable, err)
	}
	// Without GetBody the transport cannot resend the record by itself.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, c.wrap("append", sendError(err), err)
	}
	defer discard(resp.Body)
	switch resp.StatusCode {
	case http.StatusCreated:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, c.wrap("append", ErrUnavailable, statusError(resp))
	case http.StatusRequestEntityTooLarge:
		return 0, c.wrap("append", ErrTooLarge, statusError(resp))
	default:
		return 0, c.wrap("append", ErrUnknown, statusError(resp))
	}
	var reply struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decode(resp.Body, &reply); err != nil {
		return 0, c.wrap("append", ErrUnknown, err)
	}
	if reply.Offset == nil {
		return 0, c.wrap("append", ErrUnknown, errors.New("reply has no offset"))
	}
	return *reply.Offset, nil
}

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, c.wrap("read", ErrUnavailable, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Page{}, c.wrap("read", ErrUnavailable, err)
	}
	defer discard(resp.Body)
	var page Page
	switch resp.StatusCode {
	case http.StatusOK:
		err = decode(resp.Body, &page)
	case http.StatusGone:
		err = decode(resp.Body, &page)
		if err == nil {
			return Page{}, fmt.Errorf("read from log %s: %w", c.base, &ErrTruncated{First: page.First})
		}
	default:
		err = statusError(resp)
	}
	if err == nil {
		err = checkPage(page, from)
	}
	if err != nil {
		return Page{}, c.wrap("read", ErrUnavailable, err)
	}
	return page, nil
}

// checkPage refuses a page whose offsets do not follow each other: folding it
// would skip or repeat records.
func checkPage(p Page, from uint64) error {
	for i, r := range p.Records {
		if r.Offset != from+uint64(i) || r.Offset >= p.Head {
			return fmt.Errorf("record %d of the reply has offset %d, asked from %d with head %d", i, r.Offset, from, p.Head)
		}
	}
	return nil
}

func (c *HTTPClient) wrap(op string, kind, cause error) error {
	return fmt.Errorf("%s at log %s: %w: %w", op, c.base, kind, cause)
}

// sendError tells whether a request that failed without a reply can have reached
// the log. Only a failed connect proves that it has not.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
}

func decode(body io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(body, maxReply)).Decode(v)
}

// discard reads what is left of a short reply, so that the connection is reused.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
