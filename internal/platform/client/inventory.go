package client

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/wire"
)

type vms struct{ c *Client }

// List implements platform.VMList.
func (v vms) List(ctx context.Context) ([]platform.VM, error) {
	var answer wire.VMsResponse
	if err := v.c.getJSON(ctx, wire.PathVMs, &answer); err != nil {
		return nil, asRead(err)
	}
	return answer.VMs, nil
}

type weights struct{ c *Client }

// Describe implements platform.Weights. When the rate limit refuses the request, it returns a Weight
// with RetryAfter set and no error.
func (w weights) Describe(ctx context.Context, model string) (platform.Weight, error) {
	ctx, cancel := context.WithTimeout(ctx, w.c.timeout)
	defer cancel()
	response, err := w.c.send(ctx, http.MethodGet, wire.PrefixWeights+escape(model), nil, nil)
	if err != nil {
		return platform.Weight{}, asRead(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return decodeWeight(response)
	case http.StatusTooManyRequests:
		return platform.Weight{Model: model, RetryAfter: retryAfter(response)}, nil
	case http.StatusNotFound:
		return platform.Weight{}, fmt.Errorf("%w: weights of %q", platform.ErrNotFound, model)
	default:
		return platform.Weight{}, asRead(&callError{sent: true, cause: readStatusError(response)})
	}
}

// retryAfter reads the delay of a Retry-After header given in seconds. It is at least 1 s.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return time.Duration(seconds) * time.Second
}

func decodeWeight(response *http.Response) (platform.Weight, error) {
	var weight platform.Weight
	if err := decode(response.Body, &weight); err != nil {
		return platform.Weight{}, asRead(err)
	}
	return weight, nil
}
