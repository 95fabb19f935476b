package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// call is one HTTP request of the demo.
type call struct {
	method string
	url    string
	key    string
	header http.Header
	body   []byte
}

// reply is a whole HTTP answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (d *demo) do(ctx context.Context, c call) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, c.url, bytes.NewReader(c.body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, err
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, nil
}

// expect fails unless the call is answered with status 200, and decodes the answer into out unless out is nil.
func (d *demo) expect(ctx context.Context, c call, out any) error {
	r, err := d.do(ctx, c)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", c.method, c.url, r.status, bytes.TrimSpace(r.body))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(r.body, out)
}

func (d *demo) operatorGet(ctx context.Context, path string, out any) error {
	return d.expect(ctx, call{method: http.MethodGet, url: d.config.Operator + path, key: d.config.OperatorKey}, out)
}
