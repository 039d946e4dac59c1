// Package logsvc provides a client of the platform's log service, which stores streams of
// records that can only be appended to.
package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// The names of the streams that the system uses. There is a grants stream per region, whose
// name is StreamGrants, a hyphen and the region.
const (
	StreamConfig = "config"
	StreamGrants = "grants"
)

// Record is one record of a stream.
type Record struct {
	// Offset increases along a stream and may skip values.
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a section of a stream, as returned by one read.
type Page struct {
	// First is the offset of the oldest record that the log retains, or Next if it retains
	// none.
	First int64 `json:"first"`
	// Next is the offset at which the next read starts.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Limits of the HTTP client. A read may take readGrace longer than the time that it waits for
// records.
const (
	appendTimeout = 5 * time.Second
	readGrace     = 5 * time.Second
	maxPageBytes  = 64 << 20
	maxIdleConns  = 4
)

// Client reads and appends records over HTTP.
type Client struct {
	// URL is the base URL of the log service.
	URL  string
	http *http.Client
}

// New returns a client of the log service at the given base URL.
func New(url string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	return &Client{URL: url, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append appends a record and returns its offset. If it returns an error, the record may or
// may not have been written.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/streams/%s/records", c.URL, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Annotatef(err, "append to stream %s at %s", stream, c.URL)
	}
	var out struct {
		Offset int64 `json:"offset"`
	}
	if err := c.do(req, &out); err != nil {
		return 0, errors.Annotatef(err, "append to stream %s at %s", stream, c.URL)
	}
	return out.Offset, nil
}

// Read returns the records starting at offset from. If there are none, it waits up to wait
// for new ones.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait clock.Millis) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+readGrace)
	defer cancel()
	url := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&wait_ms=%d", c.URL, stream, from, wait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, errors.Annotatef(err, "read stream %s at %s", stream, c.URL)
	}
	var p Page
	if err := c.do(req, &p); err != nil {
		return Page{}, errors.Annotatef(err, "read stream %s at %s", stream, c.URL)
	}
	return p, nil
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(body, out)
}
