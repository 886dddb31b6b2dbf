package explain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// State queries a running balancer's state.
func State(ctx context.Context, path string, result any) error {
	return query(ctx, path, requestState, result)
}

// Members queries a running balancer's view of the other balancers.
func Members(ctx context.Context, path string, result any) error {
	return query(ctx, path, requestMembers, result)
}

// Flow queries a running balancer's explanation of where it placed a flow.
func Flow(ctx context.Context, path, flow string, result any) error {
	return query(ctx, path, requestWhy+" "+flow, result)
}

// query sends one request to the balancer at a socket and decodes the response into result. If the response is an
// error, query returns an error with its text.
func query(ctx context.Context, path, request string, result any) error {
	dialer := net.Dialer{Timeout: exchangeTimeout}
	conn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("no balancer responds on %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := fmt.Fprintln(conn, request); err != nil {
		return fmt.Errorf("sending the request to %s: %w", path, err)
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("reading the response from %s: %w", path, err)
	}
	var failed errorResponse
	if err := json.Unmarshal(text, &failed); err == nil && failed.Error != "" {
		return errors.New(failed.Error)
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("decoding the response from %s: %w", path, err)
	}
	return nil
}
