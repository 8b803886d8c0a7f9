package admitter_test

import (
	"fmt"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a newcomer that is refused for a full queue, or pushed out later, while
// an account with more queued attempts, or a lower rank, keeps them.
func TestFullQueue(t *testing.T) {
	heavy, light := uint32(1), uint32(2)
	cases := []struct {
		name      string
		queued    []admitter.Arrive
		newcomer  admitter.Arrive
		wantLoser uint32
	}{
		{"light account", []admitter.Arrive{{Account: heavy}, {Account: heavy}, {Account: heavy}}, admitter.Arrive{Account: light}, heavy},
		{"same account", []admitter.Arrive{{Account: heavy}, {Account: heavy}, {Account: light}}, admitter.Arrive{Account: heavy}, heavy},
		{"equal parts", []admitter.Arrive{{Account: heavy}, {Account: light}, {Account: 3}}, admitter.Arrive{Account: 4}, 4},
		{"lower rank", []admitter.Arrive{{Account: heavy}, {Account: heavy}, {Account: light, Priority: 1}}, admitter.Arrive{Account: heavy}, light},
		{"new work", []admitter.Arrive{{Account: heavy, Nested: true}, {Account: heavy, Nested: true}, {Account: light}}, admitter.Arrive{Nested: true}, light},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(1, 3, 10)
			s.arrive(admitter.Arrive{Account: 9})
			for _, e := range append(c.queued, c.newcomer) {
				s.arrive(e)
			}
			if fmt.Sprint(s.refused) != fmt.Sprint(map[uint32]int{c.wantLoser: 1}) {
				t.Fatalf("refused %v, want account %d", s.refused, c.wantLoser)
			}
		})
	}
}

// sendAbove lets 9 accounts send 0.09 of the capacity each and account 1 as much as
// asked for, with waits of up to 300 ms. It returns the starts of account 1 and the
// least starts and most refusals of another one.
func sendAbove(perSecond int, repeat bool) (own, fewestStarts, mostRefusals int) {
	s := newServer(5, 20, 50)
	var returns []timer.Millis
	s.onRefuse = func(e admitter.Arrive, after timer.Millis) {
		if e.Account == 1 && repeat {
			returns = append(returns, s.now+1)
		}
	}
	arrive := func(account uint32) { s.arrive(admitter.Arrive{Account: account, MaxWait: 300}) }
	for range 10 * timer.Second {
		s.advance()
		for due := returns; len(due) > 0; due = due[1:] {
			returns = returns[1:]
			arrive(1)
		}
		if s.now%timer.Millis(1000/perSecond) == 0 {
			arrive(1)
		}
		if s.now%12 == 0 { // 83 a second for 9 accounts, capacity 100
			arrive(2 + uint32(s.now/12%9))
		}
	}
	fewestStarts = s.started[2]
	for other := uint32(2); other <= 10; other++ {
		fewestStarts, mostRefusals = min(fewestStarts, s.started[other]), max(mostRefusals, s.refused[other])
	}
	return s.started[1], fewestStarts, mostRefusals
}

// Guards against an account that gets more by sending more, or by repeating refused
// requests at once, and against refusals of accounts that send less than their part.
func TestRepeatingGainsNothing(t *testing.T) {
	patient, fewest, refusals := sendAbove(50, false)
	t.Logf("without repeats: %d starts, others at least %d, at most %d refusals", patient, fewest, refusals)
	repeating, fewestBeside, refusalsBeside := sendAbove(50, true)
	t.Logf("with repeats: %d starts, others at least %d, at most %d refusals", repeating, fewestBeside, refusalsBeside)
	if refusals > 0 || refusalsBeside > 0 || fewestBeside < fewest-1 {
		t.Error("accounts below their part lost requests")
	}
	if float64(repeating) > 1.02*float64(patient) {
		t.Errorf("%d starts with repeats, %d without", repeating, patient)
	}
}

// Guards against an account that waits without an end beside accounts that each send one
// attempt after another, and against state for every account that was served meanwhile.
func TestSequentialAccounts(t *testing.T) {
	for _, accounts := range []int{2, 500} {
		s := newServer(1, 40, 10)
		for range 20 {
			s.arrive(admitter.Arrive{Account: 1, Remaining: 9000})
		}
		for n := range 12 * accounts { // always one of them waits when a run ends
			s.arrive(admitter.Arrive{Account: 2 + uint32(n%accounts)})
			s.end(0)
			if got, most := s.a.Status().Accounts, 256+len(s.waiting)+len(s.running); got > most {
				t.Fatalf("state for %d accounts, want at most %d", got, most)
			}
		}
		if got := s.started[1]; got < 8 {
			t.Errorf("%d accounts: account 1 started %d times in %d runs", accounts, got, 12*accounts)
		}
	}
}

// Guards against a burst of a low rank, 2.3 times the usual for 6 s, that makes attempts
// of rank 0 wait for more than one run or be refused.
func TestBurstOfLowRank(t *testing.T) {
	s := newServer(5, 20, 50)
	worst, arrived := timer.Millis(0), map[timer.Millis]timer.Millis{}
	s.onStart = func(e admitter.Arrive) {
		if e.Account == 1 {
			worst = max(worst, s.now-arrived[e.Remaining])
		}
	}
	urgentRefusals, lowRefusals := 0, 0
	s.onRefuse = func(e admitter.Arrive, _ timer.Millis) {
		if e.Priority == 0 {
			urgentRefusals++
		} else {
			lowRefusals++
		}
	}
	begin := s.now
	low := 0.0
	for range 12 * timer.Second {
		s.advance()
		if s.now%25 == 0 { // 40 a second, capacity 100
			remaining := 5000 + s.now%997 // identifies the attempt while it waits
			arrived[remaining] = s.now
			s.arrive(admitter.Arrive{Account: 1, Remaining: remaining, MaxWait: 300})
		}
		rate := 0.05
		if span := s.now - begin; span > 3*timer.Second && span < 9*timer.Second {
			rate *= 2.3
		}
		for low += rate; low >= 1; low-- {
			s.arrive(admitter.Arrive{Account: 2 + uint32(s.now%5), Priority: 1, MaxWait: 300})
		}
	}
	t.Logf("rank 0: longest wait %d ms, %d refused; rank 1: %d refused", worst, urgentRefusals, lowRefusals)
	if urgentRefusals > 0 || worst > s.latency || lowRefusals == 0 {
		t.Error("the burst did not stay below rank 0")
	}
}

// Guards against refused accounts that return together, against one with many refusals
// that delays the others, and against one that has waited and returns after newcomers.
func TestReturnTimes(t *testing.T) {
	s := newServer(5, 8, 100)
	after := map[uint32][]timer.Millis{}
	s.onRefuse = func(e admitter.Arrive, wait timer.Millis) { after[e.Account] = append(after[e.Account], wait) }
	for n := range 13 {
		s.arrive(admitter.Arrive{Account: 100 + uint32(n)})
	}
	for range 50 {
		s.arrive(admitter.Arrive{Account: 1})
	}
	s.arrive(admitter.Arrive{Account: 2})
	s.arrive(admitter.Arrive{Account: 3})
	first := after[1]
	if len(first) != 50 || first[1] <= first[0] || first[49] != timer.Second {
		t.Errorf("account 1 returns after %v", first)
	}
	if second, third := after[2][0], after[3][0]; second <= first[0] || third <= second || third > first[0]+2*20 {
		t.Errorf("accounts 1, 2 and 3 return after %d, %d and %d ms, want one start apart", first[0], second, third)
	}
	longest := s.waiting[0]
	s.now += 60
	s.arrive(admitter.Arrive{Account: 4})
	s.step(admitter.Cancel{Attempt: longest.Attempt})
	if waited, newcomer := after[longest.Account][0], after[4][0]; waited >= newcomer {
		t.Errorf("returns after %d ms although it has waited, a newcomer after %d ms", waited, newcomer)
	}
}

// BenchmarkAccounts completes attempts in order, with one waiting for each account.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{0, 1, 100} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			limits := defaultLimits
			limits.MaxQueue, limits.ColdLimit = 200, 8
			a := newReady(limits, 0)
			var actions []admitter.Action
			started, sent, now := []identifier.AttemptID{}, 0, timer.Millis(1)
			send := func() {
				account := uint32(0)
				if accounts > 0 {
					account = 1 + uint32(sent%accounts)
				}
				actions = a.Step(now, admitter.Arrive{Attempt: id(sent), Account: account, Remaining: 9000}, actions[:0])
				sent++
				for _, action := range actions {
					started = append(started, action.(admitter.Start).Attempt)
				}
			}
			for range 7 + accounts {
				send()
			}
			for b.Loop() {
				now += 4
				a.Step(now, admitter.Tick{}, nil)
				send()
				actions = a.Step(now, admitter.Complete{Attempt: started[0], Result: admitter.Shed}, actions[:0])
				started = append(started[:0], started[1:]...)
				for _, action := range actions {
					started = append(started, action.(admitter.Start).Attempt)
				}
			}
		})
	}
}
