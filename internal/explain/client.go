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

// State asks a running balancer for its state.
func State(ctx context.Context, path string, into any) error {
	return query(ctx, path, questionState, into)
}

// Members asks a running balancer what it knows of the others.
func Members(ctx context.Context, path string, into any) error {
	return query(ctx, path, questionMembers, into)
}

// Why asks a running balancer why it placed a flow where it did.
func Why(ctx context.Context, path, flow string, into any) error {
	return query(ctx, path, questionWhy+" "+flow, into)
}

// query puts one question to the balancer at a socket and decodes the answer into a variable. A question that the
// balancer can't answer gives an error with its text.
func query(ctx context.Context, path, question string, into any) error {
	dialer := net.Dialer{Timeout: exchangeTimeout}
	conn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("no balancer answers on %s: %w", path, err)
	}
	defer func() { _ = conn.Close() }() // all that matters was read
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := fmt.Fprintln(conn, question); err != nil {
		return fmt.Errorf("asking on %s: %w", path, err)
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("asking on %s: %w", path, err)
	}
	var failed failure
	if err := json.Unmarshal(text, &failed); err == nil && failed.Error != "" {
		return errors.New(failed.Error)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("the answer on %s: %w", path, err)
	}
	return nil
}
