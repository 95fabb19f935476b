package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
)

// BenchmarkExchange compares a new connection per request with kept-alive connections, on loopback.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"ok":true}`)
	}))
	defer server.Close()
	b.Run("connection=own", func(b *testing.B) {
		client := engine.New(engine.Config{})
		request := engine.Request{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, Path: "/", Body: []byte("{}")}
		for b.Loop() {
			if _, err := client.Complete(context.Background(), request); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("connection=kept", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{}}
		for b.Loop() {
			response, err := client.Post(server.URL, "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.ReadAll(response.Body)
			response.Body.Close()
		}
	})
}
