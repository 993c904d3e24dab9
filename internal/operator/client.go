package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/timeline"
)

// maxResponse limits the size of a response body, in bytes. The timeline of a
// full ring buffer is about 1 MB.
const maxResponse = 64 << 20

// Client calls the operator API of one node. It returns an *Error if the node
// rejected the request. Errors in sending a request or reading its response contain
// URL.
type Client struct {
	URL       string // base URL of the operator listener
	Token     string
	Transport *exchange.StrictTransport // nil means one that all such clients share
}

var sharedTransport = exchange.Strict(&http.Transport{})

// Plan requests a plan that brings the mesh to the state the files declare.
func (c *Client) Plan(ctx context.Context, files []File) (Plan, error) {
	return post[Plan](ctx, c, "/v1/plan", PlanRequest{files})
}

// PlanKey requests a plan to issue or withdraw a key.
func (c *Client) PlanKey(ctx context.Context, r KeyRequest) (Plan, error) {
	return post[Plan](ctx, c, "/v1/keys/plan", r)
}

// PlanDrain requests a plan to drain the local upstream of a host.
func (c *Client) PlanDrain(ctx context.Context, host mesh.Host) (Plan, error) {
	return post[Plan](ctx, c, "/v1/drain", struct {
		Host mesh.Host `json:"host"`
	}{host})
}

// Confirm confirms a plan of any kind. If wait is positive and the plan changes the
// mesh or issues a key, the node waits at most that long until other nodes have
// applied the accepted record, and the result reports how many have.
func (c *Client) Confirm(ctx context.Context, p Plan, wait time.Duration) (Result, error) {
	path := map[PlanKind]string{
		PlanMesh: "/v1/confirm", PlanIssue: "/v1/keys/confirm", PlanWithdraw: "/v1/keys/confirm", PlanDrain: "/v1/drain",
	}[p.Kind]
	if path == "" {
		return Result{}, errors.Errorf("plan kind %q is none of mesh, key-issue, key-withdraw, drain", p.Kind)
	}
	if wait > 0 {
		path += "?wait=" + strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	}
	result, err := post[Result](ctx, c, path, p)
	if err == nil && result.State == "" {
		err = errors.Errorf("response from node at %s has no confirmation state", c.URL)
	}
	return result, err
}

// Proposal returns the current result of a confirmation.
func (c *Client) Proposal(ctx context.Context, token config.Token) (Result, error) {
	return get[Result](ctx, c, "/v1/proposals/"+token.String())
}

// Keys lists the API keys that the node knows.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	list, err := get[struct {
		Keys []Key `json:"keys"`
	}](ctx, c, "/v1/keys")
	return list.Keys, err
}

// Status returns the status of the node. If refresh is set, the node queries the
// other members first.
func (c *Client) Status(ctx context.Context, refresh bool) (Status, error) {
	path := "/v1/status"
	if refresh {
		path += "?ask=1"
	}
	return get[Status](ctx, c, path)
}

// Timeline returns the events of the node that match the filter. The host filter
// is not sent: a node has only its own events.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	query := url.Values{}
	for _, kind := range f.Kinds {
		query.Add("kind", kind.String())
	}
	if f.Workspace != "" {
		query.Set("workspace", string(f.Workspace))
	}
	if f.Action != 0 {
		query.Set("action", strconv.FormatUint(uint64(f.Action), 16))
	}
	data, err := c.call(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	events, err := timeline.ReadJSON(bytes.NewReader(data))
	return events, errors.Wrapf(err, "decode timeline of %s", c.URL)
}

func post[T any](ctx context.Context, c *Client, path string, body any) (result T, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	return decode[T](c.call(ctx, http.MethodPost, path, data))
}

func get[T any](ctx context.Context, c *Client, path string) (result T, err error) {
	return decode[T](c.call(ctx, http.MethodGet, path, nil))
}

func decode[T any](data []byte, err error) (result T, _ error) {
	if err != nil {
		return result, err
	}
	return result, errors.Wrap(json.Unmarshal(data, &result), "decode response of the node")
}

// call sends a request and returns the body of the response, or the error that the
// response contains. Other JSON is returned whatever the status, because the Result of
// a rejected confirmation is sent with status 409 or 503.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	client := http.Client{Transport: cmp.Or(c.Transport, sharedTransport)}
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "request to node at %s", c.URL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of node at %s", c.URL)
	}
	var failure errorBody
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Error != nil {
		failure.Error.Status = resp.StatusCode
		return nil, failure.Error
	}
	if resp.StatusCode >= http.StatusBadRequest && !json.Valid(data) {
		return nil, errors.Errorf("node at %s answered %s", c.URL, resp.Status)
	}
	return data, nil
}
