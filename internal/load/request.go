package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomhatch/internal/outcome"
)

const (
	ticketHeader  = "Cardamomhatch-Ticket"
	timeoutHeader = "Cardamomhatch-Timeout-Ms"
	ticketPath    = "/.cardamomhatch/ticket"
	// maxPooledTickets bounds the tickets that are kept from earlier answers.
	maxPooledTickets = 64
	// A request is cancelled after abandonFactor times its timeout.
	abandonFactor = 2
)

type kind = Kind

const (
	complete  = Complete
	refused   = Refused
	failed    = Failed
	truncated = Truncated
	dropped   = Dropped
)

// attemptResult says how one attempt ended.
type attemptResult struct {
	kind    kind
	refusal outcome.Refusal // if refused
	status  int             // HTTP status; zero if no answer was received
	inTime  bool            // valid if complete; set after the last attempt
	bytes   int64           // length of the response body
}

// ticketPool holds the unused tickets that answers carried, last in, first out.
type ticketPool struct {
	mu      sync.Mutex
	tickets []string
}

func (p *ticketPool) put(ticket string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ticket != "" && len(p.tickets) < maxPooledTickets {
		p.tickets = append(p.tickets, ticket)
	}
}

func (p *ticketPool) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tickets) == 0 {
		return ""
	}
	last := len(p.tickets) - 1
	ticket := p.tickets[last]
	p.tickets = p.tickets[:last]
	return ticket
}

// perform sends one request with its retries and records its end.
func (r *runner) perform(ctx context.Context, a arrival, rec *recorder) {
	w := &r.cfg.Workspaces[a.workspace]
	route := &w.Routes[a.route]
	timeout := route.Timeout
	if timeout == 0 {
		timeout = r.cfg.Timeout
	}
	ctx, cancel := context.WithDeadline(ctx, a.at.Add(abandonFactor*timeout))
	defer cancel()
	c := &client{runner: r, workspace: w, route: route, pool: r.tickets[a.workspace], arrival: a, deadline: a.at.Add(timeout)}
	result := c.attempt(ctx)
	for retry := 0; retry < r.cfg.Retries && c.retryable(result); retry++ {
		if !sleepUntil(ctx, time.Now().Add(c.retryDelay(retry, result))) {
			break
		}
		rec.recordRetry()
		result = c.attempt(ctx)
	}
	latency := time.Since(a.at)
	result.inTime = latency <= timeout
	rec.recordEnd(result, latency)
	r.reportRequest(a, result, latency)
}

// client performs the attempts of one request.
type client struct {
	runner    *runner
	workspace *Workspace
	route     *Route
	pool      *ticketPool
	arrival   arrival
	deadline  time.Time // after which an answer is late
	ticket    string    // empty if the request has none yet
	attempts  int       // so far, not counting requests for a ticket
}

// retryable reports whether another attempt is safe and may succeed.
func (c *client) retryable(result attemptResult) bool {
	switch result.kind {
	case complete:
		return false
	case refused:
		status := result.refusal.Reason.Status()
		if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return false
		}
	}
	notRun := result.kind == refused && result.refusal.Execution == outcome.NotRun
	return notRun || c.route.Idempotent || c.ticket != ""
}

// retryDelay returns the time to wait before a retry. retry is the number of earlier
// retries; result is that of the previous attempt.
func (c *client) retryDelay(retry int, result attemptResult) time.Duration {
	d := c.runner.cfg.RetryDelay << min(retry, 16)
	d += time.Duration(c.arrival.random.Int64N(int64(d)/2 + 1))
	if c.runner.cfg.RespectRetryAfter {
		d = max(d, result.refusal.RetryAfter)
	}
	return d
}

// attempt sends the request once. If the request needs a ticket and the pool has none,
// attempt requests one first.
func (c *client) attempt(ctx context.Context) attemptResult {
	if c.runner.cfg.Tickets && !c.route.Idempotent && c.ticket == "" {
		c.ticket = c.pool.take()
	}
	if c.runner.cfg.Tickets && !c.route.Idempotent && c.ticket == "" {
		result, header := c.send(ctx, http.MethodPost, ticketPath, nil)
		if result.kind != complete {
			return result
		}
		c.ticket = header.Get(ticketHeader)
		if c.ticket == "" {
			return attemptResult{kind: failed, status: result.status}
		}
	}
	c.attempts++
	result, header := c.send(ctx, c.route.Method, c.route.Path, c.route.Body)
	c.reportAttempt(result, header)
	if c.runner.cfg.Tickets && !c.runner.cfg.TicketPerRequest && !c.route.Idempotent && header != nil {
		c.pool.put(header.Get(ticketHeader))
	}
	return result
}

// target returns a random usable target, or any target if none is usable.
func (c *client) target() string {
	targets := c.runner.cfg.Targets
	first := c.arrival.random.IntN(len(targets))
	for i := range targets {
		target := targets[(first+i)%len(targets)]
		if c.runner.cfg.Usable == nil || c.runner.cfg.Usable(target) {
			return target
		}
	}
	return targets[first]
}

// onceReader hides the type of a body, so that net/http cannot rewind it and
// http.Transport cannot resend the request on its own.
type onceReader struct{ io.Reader }

// send sends one HTTP request to a target and reads the answer. The header is nil if
// there is no answer. Requests for a ticket carry no marker.
func (c *client) send(ctx context.Context, method, path string, body []byte) (attemptResult, http.Header) {
	base := strings.TrimSuffix(c.target(), "/")
	request, err := http.NewRequestWithContext(ctx, method, base+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return attemptResult{kind: failed}, nil
	}
	if len(body) > 0 {
		request.ContentLength = int64(len(body))
	}
	request.Header.Set("Authorization", "Bearer "+c.workspace.Key)
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	request.Header.Set(timeoutHeader, strconv.FormatInt(remaining, 10))
	if c.ticket != "" {
		request.Header.Set(ticketHeader, c.ticket)
	}
	if name := c.runner.cfg.MarkerHeader; name != "" && path == c.route.Path {
		request.Header.Set(name, c.attemptMarker())
	}
	response, err := c.runner.cfg.Transport.RoundTrip(request)
	if err != nil {
		return attemptResult{kind: failed}, nil
	}
	defer response.Body.Close()
	return readAnswer(response), response.Header
}

// readAnswer reads the answer to its end and classifies it. The zero kind is complete.
func readAnswer(response *http.Response) attemptResult {
	result := attemptResult{status: response.StatusCode}
	n, err := io.Copy(io.Discard, response.Body)
	result.bytes = n
	refusal, isRefusal := outcome.Parse(response.Header)
	switch {
	case isRefusal:
		result.kind, result.refusal = refused, refusal
	case err != nil:
		result.kind = truncated
	case response.StatusCode >= http.StatusInternalServerError:
		result.kind = failed
	}
	return result
}
