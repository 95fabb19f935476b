package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// httpRequest is one HTTP request of the demo.
type httpRequest struct {
	method string
	url    string
	key    string
	header http.Header
	body   []byte
}

// httpResponse is an HTTP response with its full body.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

func (d *demo) do(ctx context.Context, req httpRequest) (httpResponse, error) {
	request, err := http.NewRequestWithContext(ctx, req.method, req.url, bytes.NewReader(req.body))
	if err != nil {
		return httpResponse{}, err
	}
	for name, values := range req.header {
		request.Header[name] = values
	}
	if req.key != "" {
		request.Header.Set("Authorization", "Bearer "+req.key)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// doOK sends a request and decodes the JSON response into out unless out is nil. It returns an error unless the status
// is 200.
func (d *demo) doOK(ctx context.Context, req httpRequest, out any) error {
	r, err := d.do(ctx, req)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", req.method, req.url, r.status, bytes.TrimSpace(r.body))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(r.body, out)
}

func (d *demo) getFromOperator(ctx context.Context, path string, out any) error {
	return d.doOK(ctx, httpRequest{method: http.MethodGet, url: d.config.Operator + path, key: d.config.OperatorKey}, out)
}
