package simulation

import "time"

// Totals are the counts of a day.
type Totals struct {
	Clients, Attempts, Retries                 int
	Established, Rejected, Aborted, NoBalancer int // answers
	TimedOut                                   int // attempts without an answer before the client's timeout
	Migrated, Cut                              int // connections that ended before their clients left

	Setups           []time.Duration // set-up times of established attempts, as seen by the clients
	EstablishedAt    []time.Duration
	FirstEstablished []time.Duration // from a client's arrival to its first connection
	NeverEstablished []time.Duration // how long clients waited that never had a connection
	RejectedAt       []time.Duration
	AttemptedAt      []time.Duration
}

func (t *Totals) countAttempt(now time.Duration, isRetry bool) {
	t.Attempts++
	t.AttemptedAt = append(t.AttemptedAt, now)
	if isRetry {
		t.Retries++
	}
}

func (t *Totals) countAnswer(a Answer, now time.Duration) {
	switch a {
	case Established:
		t.Established++
		t.EstablishedAt = append(t.EstablishedAt, now)
	case Rejected:
		t.Rejected++
		t.RejectedAt = append(t.RejectedAt, now)
	case Aborted:
		t.Aborted++
	case NoBalancer:
		t.NoBalancer++
	}
}
