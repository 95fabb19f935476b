package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// requestTimeout bounds one request to the operators' API.
const requestTimeout = 30 * time.Second

// changeAttempts bounds the attempts at a settings change while its outcome is unknown.
const changeAttempts = 3

// operatorClient is a client of the operators' API.
type operatorClient struct {
	base string
	key  string
	http *http.Client
}

func newOperatorClient(base, key string) *operatorClient {
	return &operatorClient{
		base: strings.TrimRight(base, "/"),
		key:  key,
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{Proxy: nil}},
	}
}

// apiError is an error response of the operators' API.
type apiError struct {
	Status   int    `json:"-"`
	Code     string `json:"code"`
	Message  string `json:"message"`
	Problems []struct {
		Path    string `json:"path"`
		Message string `json:"message"`
	} `json:"problems"`
}

// Error implements error.
func (e *apiError) Error() string {
	text := e.Message
	if len(e.Problems) > 0 {
		text = "the settings are not valid"
	}
	for _, problem := range e.Problems {
		text += fmt.Sprintf("\n  %s: %s", problem.Path, problem.Message)
	}
	return fmt.Sprintf("%s (%s)", text, e.Code)
}

// request is one request to the operators' API.
type request struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
}

// get fetches path and decodes the response into out.
func (c *operatorClient) get(path string, out any) error {
	return c.do(request{method: http.MethodGet, path: path}, out)
}

func (c *operatorClient) do(r request, out any) error {
	if c.base == "" {
		return errors.New("no URL of the operators' API: set --operator or OPERATOR, such as http://127.0.0.1:8501")
	}
	req, err := http.NewRequest(r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, content)
	}
	return json.Unmarshal(content, out)
}

func decodeError(status int, content []byte) error {
	var body struct {
		Error apiError `json:"error"`
	}
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("HTTP status %d: %s", status, strings.TrimSpace(string(content)))
	}
	body.Error.Status = status
	return &body.Error
}

// change sends a settings change with an idempotency key, and retries it while its outcome is unknown. It is
// committed at most once.
func (c *operatorClient) change(r request, out any) error {
	if r.headers == nil {
		r.headers = map[string]string{}
	}
	r.headers["Idempotency-Key"] = ulid.Make().String()
	var err error
	for range changeAttempts {
		err = c.do(r, out)
		var failure *apiError
		if err == nil || errors.As(err, &failure) && failure.Status != http.StatusGatewayTimeout {
			return err
		}
	}
	return err
}
