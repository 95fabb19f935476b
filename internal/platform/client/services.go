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

type vmList struct{ c *Client }

// List implements platform.VMList.
func (v vmList) List(ctx context.Context) ([]platform.VM, error) {
	response, err := v.c.get(ctx, wire.PathVMs)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: list of VMs: status %d", platform.ErrUnavailable, response.StatusCode)
	}
	var list wire.VMsResponse
	err = decode(response.Body, &list)
	return list.VMs, err
}

type weightStore struct{ c *Client }

// Describe implements platform.Weights. If the rate limit rejects the request, it returns a Weight
// with RetryAfter set and no error.
func (w weightStore) Describe(ctx context.Context, model string) (platform.Weight, error) {
	response, err := w.c.get(ctx, wire.PrefixWeights+escape(model))
	if err != nil {
		return platform.Weight{}, err
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
		return platform.Weight{}, fmt.Errorf("%w: weights of %q: status %d", platform.ErrUnavailable, model, response.StatusCode)
	}
}

// retryAfter returns the delay of a Retry-After header in seconds, at least 1 s.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return time.Duration(seconds) * time.Second
}

func decodeWeight(response *http.Response) (platform.Weight, error) {
	var weight platform.Weight
	err := decode(response.Body, &weight)
	return weight, err
}
