// Package opapi provides a client of the operator API of an entry.
package opapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
)

const (
	callTimeout      = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the operator API of one entry.
type Client struct {
	// URL is the base URL of the entry's operator API.
	URL   string
	token string
	http  *http.Client
}

// New returns a client. If token is empty, requests are sent without one.
func New(url, token string) *Client {
	return &Client{URL: url, token: token, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (entry.ConfigResponse, error) {
	var out entry.ConfigResponse
	_, err := c.call(ctx, http.MethodGet, "/v1/config", nil, &out)
	return out, err
}

// State returns a dump of the entry's state.
func (c *Client) State(ctx context.Context) (entry.State, error) {
	var out entry.State
	_, err := c.call(ctx, http.MethodGet, "/debug/state", nil, &out)
	return out, err
}

// Amend proposes an amendment. A verdict that rejects it is not an error. If Amend returns an
// error, the amendment may or may not have been accepted.
func (c *Client) Amend(ctx context.Context, a contr.Amendment) (contr.Verdict, error) {
	var out contr.Verdict
	_, err := c.call(ctx, http.MethodPost, "/v1/amendments", a, &out)
	return out, err
}

// Explain returns the explanations that the entry keeps for one request.
func (c *Client) Explain(ctx context.Context, request string) ([]audit.Explanation, error) {
	var out []audit.Explanation
	_, err := c.call(ctx, http.MethodGet, "/v1/explain/"+url.PathEscape(request), nil, &out)
	return out, err
}

// ExplainCustomer returns the explanations that the entry keeps for a customer's requests
// that ended within the last maxAge milliseconds.
func (c *Client) ExplainCustomer(ctx context.Context, customer string, maxAge clock.Millis) ([]audit.Explanation, error) {
	var out []audit.Explanation
	path := fmt.Sprintf("/v1/explain?customer=%s&since_ms=%d", url.QueryEscape(customer), maxAge)
	_, err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// call sends a request and decodes the response. It accepts status 409 beside 200, because a
// rejected amendment is answered with its verdict and status 409.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Annotatef(err, "encode request to %s", c.URL)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return 0, errors.Annotatef(err, "call %s", c.URL)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Annotatef(err, "call %s", c.URL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, errors.Annotatef(err, "read response of %s", c.URL)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, errors.Errorf("%s %s%s: %s", method, c.URL, path, strings.TrimSpace(string(data)))
	}
	return resp.StatusCode, errors.Annotatef(json.Unmarshal(data, out), "decode response of %s", c.URL)
}
