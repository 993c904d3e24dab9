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

	"cardamomhatch/internal/exchange"
)

const (
	// readMargin is how much longer than the long poll a read waits for its response.
	readMargin = 5 * time.Second
	// appendTimeout limits an append; after a timeout its outcome is unknown.
	appendTimeout    = 5 * time.Second
	maxResponseBytes = 256 << 20
)

// HTTPClient is a Client that uses HTTP and JSON:
//
//	POST /streams/STREAM/records               body is the record; 201 {"offset":N}
//	GET  /streams/STREAM/records?from=&max=&wait_ms=    200 Page, 410 {"first":N}
//
// Statuses other than success:
//
//	410       the record at offset from is no longer retained; N is the first retained offset
//	413       the server never accepts a record of this size
//	429, 503  the server did not accept the request
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client for the log service at base, for example
// http://127.0.0.1:9000. A nil transport means one that keeps up to 4 idle
// connections, each for at most a minute; another one must not be in use yet.
func NewHTTPClient(base string, transport *http.Transport) *HTTPClient {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &HTTPClient{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: exchange.Strict(transport)}}
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
		return 0, c.wrapError("append", ErrUnavailable, err)
	}
	// Without GetBody the transport cannot resend the record automatically, which
	// could append it twice.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, c.wrapError("append", classifySendError(err), err)
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusCreated:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, c.wrapError("append", ErrUnavailable, statusError(resp))
	case http.StatusRequestEntityTooLarge:
		return 0, c.wrapError("append", ErrTooLarge, statusError(resp))
	default:
		return 0, c.wrapError("append", ErrUnknown, statusError(resp))
	}
	var result struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decodeJSON(resp.Body, &result); err != nil {
		return 0, c.wrapError("append", ErrUnknown, err)
	}
	if result.Offset == nil {
		return 0, c.wrapError("append", ErrUnknown, errors.New("response has no offset"))
	}
	return *result.Offset, nil
}

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(maxRecords))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, c.wrapError("read", ErrUnavailable, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Page{}, c.wrapError("read", ErrUnavailable, err)
	}
	defer drainAndClose(resp.Body)
	var page Page
	switch resp.StatusCode {
	case http.StatusOK:
		err = decodeJSON(resp.Body, &page)
	case http.StatusGone:
		err = decodeJSON(resp.Body, &page)
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
		return Page{}, c.wrapError("read", ErrUnavailable, err)
	}
	return page, nil
}

// checkPage returns an error unless the offsets of a page are consecutive, start at
// from and are below its head. Folding any other page would skip or repeat records.
func checkPage(p Page, from uint64) error {
	for i, r := range p.Records {
		if r.Offset != from+uint64(i) || r.Offset >= p.Head {
			return fmt.Errorf("record %d of the response has offset %d, want consecutive offsets from %d and below the head %d", i, r.Offset, from, p.Head)
		}
	}
	return nil
}

// wrapError returns an error that matches both kind, one of the errors of this
// package, and cause.
func (c *HTTPClient) wrapError(op string, kind, cause error) error {
	return fmt.Errorf("%s at log %s: %w: %w", op, c.base, kind, cause)
}

// classifySendError returns ErrUnavailable or ErrUnknown for an append that failed
// without a response. Only a failed connect proves that the request did not reach
// the log service.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
}

// decodeJSON reads a body to its end, because one that breaks off or has a malformed trailer may
// begin with a complete value.
func decodeJSON(body io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// drainAndClose reads the rest of a short body before closing it, so that the
// connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
