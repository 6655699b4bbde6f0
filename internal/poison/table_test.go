package poison

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func digest(number int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(number)+1)
	return d
}

func firstRank() int { return 0 }

func verdictAt(t *Table, at time.Time, d Digest) Verdict {
	verdict, _ := t.Verdict(at, d, firstRank)
	return verdict
}

// crash records that a server crashed while it ran some requests.
func crash(t *Table, at time.Time, server int, running ...Digest) {
	t.RecordCrash(at, fmt.Sprintf("s%d", server), running)
}

func TestVerdictsGrowWithTheNumberOfCrashes(t *testing.T) {
	table, guilty := NewTable(), digest(1)
	for server, want := range []Verdict{Send, Send, SendExclusively, Refuse} {
		if got := verdictAt(table, start, guilty); got != want {
			t.Errorf("after %d crashes: verdict %d, want %d", server, got, want)
		}
		crash(table, start, server, guilty)
		// The same crash, seen by another node, must not count twice.
		crash(table, start, server, guilty)
	}
}

// An innocent request that was lost together with the guilty one must be blamed for at most one
// crash.
func TestOnlyTheMostSuspectedIsBlamed(t *testing.T) {
	table, guilty := NewTable(), digest(0)
	for server := range 3 {
		crash(table, start, server, guilty, digest(10+server), digest(20+server))
	}
	if verdictAt(table, start, guilty) != Refuse {
		t.Error("the guilty request is not refused")
	}
	for server := range 3 {
		if got := table.crashes(digest(10 + server)); got > 1 {
			t.Errorf("an innocent request is blamed for %d crashes", got)
		}
	}
}

func TestAnswerClears(t *testing.T) {
	table, innocent := NewTable(), digest(1)
	crash(table, start, 0, innocent)
	if _, broadcast := table.RecordAnswer(start, innocent); !broadcast {
		t.Error("a response after one crash is not broadcast, and the other nodes go on counting")
	}
	if _, broadcast := table.RecordAnswer(start, innocent); broadcast {
		t.Error("a further response is broadcast although the request is cleared")
	}
	crash(table, start, 1, innocent)
	crash(table, start, 2, innocent)
	cleared, broadcast := table.RecordAnswer(start.Add(time.Second), innocent)
	if !broadcast || !cleared.Cleared {
		t.Error("the response to a suspect is not broadcast as cleared")
	}
	if verdictAt(table, start.Add(time.Second), innocent) != Send {
		t.Error("the request is still suspected")
	}
	other := NewTable()
	crash(other, start, 1, innocent)
	crash(other, start, 2, innocent)
	if !other.Merge(start.Add(time.Second), cleared) || verdictAt(other, start.Add(time.Second), innocent) != Send {
		t.Error("another node still suspects the request")
	}
	// Evidence older than the response must be ignored.
	old := Suspect{Digest: innocent, Lives: []string{"a", "b", "c"}, Age: 2 * time.Second}
	if other.Merge(start.Add(time.Second), old) {
		t.Error("evidence older than the response is merged")
	}
}

func TestNodesJoinWhatTheySaw(t *testing.T) {
	one, two, guilty := NewTable(), NewTable(), digest(1)
	crash(one, start, 0, guilty)
	crash(one, start, 1, guilty)
	crash(two, start, 1, guilty)
	crash(two, start, 2, guilty)
	received := one.suspect(start, guilty)
	if !two.Merge(start, received) || two.Merge(start, received) {
		t.Error("the same evidence counts twice, or not at all")
	}
	if got := two.crashes(guilty); got != 3 {
		t.Errorf("%d crashes, want three", got)
	}
	if len(two.Confirmed(start)) != 1 || len(one.Confirmed(start)) != 0 {
		t.Error("confirmed requests are not exactly those with three crashes")
	}
}

// Refused requests are tried again by one node after the other, and after a longer time for
// each further crash.
func TestRefusedRequestsAreTriedAgain(t *testing.T) {
	table, guilty := NewTable(), digest(1)
	for server := range 3 {
		crash(table, start, server, guilty)
	}
	refusedUntil := start.Add(refusalTime)
	second := func() int { return 1 }
	if verdict, left := table.Verdict(refusedUntil.Add(-time.Second), guilty, firstRank); verdict != Refuse || left != time.Second {
		t.Errorf("verdict %d, %v left one second before the end of the refusal", verdict, left)
	}
	if verdictAt(table, refusedUntil, guilty) != SendExclusively {
		t.Error("the first node does not try the request again")
	}
	if verdict, _ := table.Verdict(refusedUntil, guilty, second); verdict != Refuse {
		t.Error("the second node tries the request at the same time as the first")
	}
	if verdict, _ := table.Verdict(refusedUntil.Add(trialInterval), guilty, second); verdict != SendExclusively {
		t.Error("the second node never tries the request")
	}
	crash(table, refusedUntil, 3, guilty)
	if verdictAt(table, refusedUntil.Add(2*refusalTime-time.Second), guilty) != Refuse {
		t.Error("the refusal did not get longer after a further crash")
	}
}

func TestSuspectsLapse(t *testing.T) {
	table := NewTable()
	crash(table, start, 0, digest(1))
	crash(table, start, 1, digest(1))
	if verdictAt(table, start.Add(suspectTTL+time.Second), digest(1)) != Send {
		t.Error("a suspect is remembered after its TTL")
	}
	for number := range 3 * maxSuspects {
		crash(table, start.Add(time.Duration(number)*time.Millisecond), number, digest(100+number))
	}
	if table.Len() > maxSuspects {
		t.Errorf("%d suspects are remembered, allowed %d", table.Len(), maxSuspects)
	}
}

func TestManySuspectsDoNotPushOutACertainOne(t *testing.T) {
	table, guilty := NewTable(), digest(1)
	for server := range 3 {
		crash(table, start, server, guilty)
	}
	for number := range 2 * maxSuspects {
		crash(table, start.Add(time.Duration(number)*time.Millisecond), 10+number, digest(100+number))
	}
	if verdictAt(table, start.Add(5*time.Second), guilty) != Refuse {
		t.Error("the confirmed suspect was evicted")
	}
}

// Simulates servers that crash for unrelated reasons, and because of one guilty request, while
// they run a few popular requests and many unique ones; lost requests are retried. It counts
// both kinds of errors: innocent requests that are refused, and servers that the guilty request
// crashes after the third.
func TestMistakesOfBothKinds(t *testing.T) {
	for _, c := range []struct {
		name      string
		guilty    bool
		popular   int
		crashRate float64
	}{
		{"crashes of other causes", false, 20, 0.02},
		{"one popular request", false, 1, 0.05},
		{"a guilty request", true, 20, 0},
		{"a guilty request and other causes", true, 20, 0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(c.popular)))
			table, guilty := NewTable(), digest(0)
			innocent, refused, crashes, server, lastUnique := 0, 0, 0, 0, 1000
			// waitedSteps is the number of steps for which a suspect has waited for another
			// one.
			const maxSteps = int(exclusiveWait / (50 * time.Millisecond))
			waitedSteps := make(map[Digest]int)
			var retries []Digest
			for now := start; now.Before(start.Add(50 * time.Second)); now = now.Add(50 * time.Millisecond) {
				// The requests that one server runs at the same time.
				running := append([]Digest(nil), retries...)
				retries = nil
				for len(running) < 4 {
					if random.IntN(2) == 0 {
						running = append(running, digest(10+random.IntN(c.popular)))
						continue
					}
					lastUnique++
					running = append(running, digest(lastUnique))
				}
				sent, exclusiveSent, crashed := running[:0:0], false, random.Float64() < c.crashRate
				for _, d := range running {
					innocent++
					verdict := verdictAt(table, now, d)
					if waits := verdict == SendExclusively && exclusiveSent; waits && waitedSteps[d] < maxSteps {
						waitedSteps[d]++
						retries = append(retries, d)
						continue
					} else if waits || verdict == Refuse {
						refused++
						continue
					}
					delete(waitedSteps, d)
					exclusiveSent = exclusiveSent || verdict == SendExclusively
					sent = append(sent, d)
				}
				if c.guilty && random.IntN(8) == 0 && verdictAt(table, now, guilty) != Refuse {
					sent, crashed = append(sent, guilty), true
					crashes++
				}
				if !crashed {
					for _, d := range sent {
						table.RecordAnswer(now, d)
					}
					continue
				}
				server++
				crash(table, now, server, sent...)
				for _, d := range sent {
					if d != guilty {
						retries = append(retries, d)
					}
				}
			}
			if fraction := float64(refused) / float64(innocent); fraction > 1e-4 {
				t.Errorf("%d of %d innocent requests refused, allowed one in 10,000", refused, innocent)
			}
			if c.guilty && (crashes < refuseThreshold || crashes > refuseThreshold+2) {
				t.Errorf("the guilty request crashed %d servers, want %d, or up to two more", crashes, refuseThreshold)
			}
		})
	}
}

func TestDigestsTellRequestsApart(t *testing.T) {
	same := Request{Service: "s", Method: "GET", Host: "h", URI: "/a", Tenant: "c", ClientAddress: "192.0.2.1", Body: []byte("b")}
	seen := map[Digest]string{DigestOf(same): "itself"}
	copied := same
	copied.Body, copied.ClientAddress = []byte("b"), "192.0.2.2"
	if DigestOf(copied) != DigestOf(same) {
		t.Error("equal requests have different digests")
	}
	for name, change := range map[string]func(*Request){
		"service": func(r *Request) { r.Service = "t" }, "method": func(r *Request) { r.Method = "PUT" },
		"host": func(r *Request) { r.Host = "i" }, "path": func(r *Request) { r.URI = "/b" },
		"tenant": func(r *Request) { r.Tenant = "d" }, "key": func(r *Request) { r.Key = "7" }, "body": func(r *Request) { r.Body = []byte("c") },
		"fields moved": func(r *Request) { r.Host, r.URI = "h/", "a" },
		"long body":    func(r *Request) { r.Body = make([]byte, maxDigestedBytes) },
		"longer body":  func(r *Request) { r.Body = make([]byte, maxDigestedBytes+1) },
	} {
		other := same
		change(&other)
		if before, known := seen[DigestOf(other)]; known {
			t.Errorf("%s has the digest of %s", name, before)
		}
		seen[DigestOf(other)] = name
	}
}

// Counts long responses refused after unrelated crashes, and servers that a guilty request crashes.
func TestLongResponsesInFlightAtCrashesAreNotRefused(t *testing.T) {
	const (
		servers          = 20
		step             = 100 * time.Millisecond
		responseSteps    = 20
		stepsPerCrash    = 600
		day              = 100 * time.Second
		days             = 200
		guiltyStepsApart = 20
	)
	for _, withGuilty := range []bool{false, true} {
		t.Run(fmt.Sprintf("guilty request %v", withGuilty), func(t *testing.T) {
			random := rand.New(rand.NewPCG(11, 0))
			sent, refused := 0, 0
			for range days {
				table, guilty, lastDigest, lives, crashes := NewTable(), digest(0), 0, 0, 0
				running, left := make([]Digest, servers), make([]int, servers)
				for now, number := start, 0; now.Before(start.Add(day)); now, number = now.Add(step), number+1 {
					target := -1
					if withGuilty && number%guiltyStepsApart == 0 && verdictAt(table, now, guilty) != Refuse {
						target = random.IntN(servers)
						crashes++
					}
					for index := range servers {
						switch {
						case index == target:
							lives++
							crash(table, now, lives, running[index], guilty)
							left[index] = responseSteps
						case running[index] == Digest{}, left[index] == 0:
							table.RecordAnswer(now, running[index])
							lastDigest++
							running[index], left[index] = digest(lastDigest), responseSteps
							sent++
						case random.IntN(stepsPerCrash) == 0:
							lives++
							crash(table, now, lives, running[index])
							left[index] = responseSteps
							sent++
						}
						left[index]--
						if running[index] == (Digest{}) {
							continue
						}
						if verdictAt(table, now, running[index]) == Refuse {
							refused++
							running[index] = Digest{}
						}
					}
				}
				if withGuilty && crashes > refuseThreshold+2 {
					t.Errorf("the guilty request crashed %d servers in a day, want %d, or up to two more", crashes, refuseThreshold)
				}
			}
			if fraction := float64(refused) / float64(sent); fraction > 1e-4 {
				t.Errorf("%d of %d long responses refused, allowed one in 10,000", refused, sent)
			}
			t.Logf("%d of %d long responses refused", refused, sent)
		})
	}
}

// Guards servers that run many requests at once.
func TestGuiltyRequestIsBlamedAmongManyOthers(t *testing.T) {
	const days, others = 200, 47
	random, lastDigest, most, total := rand.New(rand.NewPCG(13, 0)), 0, 0, 0
	for range days {
		table, guilty, crashes := NewTable(), digest(0), 0
		for now := start; verdictAt(table, now, guilty) != Refuse && crashes < 100; now = now.Add(2 * time.Second) {
			running := []Digest{guilty}
			for range others {
				lastDigest++
				running = append(running, digest(lastDigest))
			}
			random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
			crashes++
			crash(table, now, crashes, running...)
			for _, d := range running {
				if d != guilty {
					table.RecordAnswer(now.Add(time.Second), d)
				}
			}
		}
		most, total = max(most, crashes), total+crashes
	}
	t.Logf("%.1f servers a day, at most %d", float64(total)/days, most)
	if most > refuseThreshold+2 {
		t.Errorf("the guilty request crashed %d servers, want %d, or up to two more", most, refuseThreshold)
	}
}

// Guards against reports of nodes that have not learned of the response.
func TestCrashesBeforeAnAnswerCountNoMore(t *testing.T) {
	for _, c := range []struct {
		name  string
		clear func(*Table, time.Time)
	}{
		{"answered at this node", func(table *Table, at time.Time) { table.RecordAnswer(at, digest(1)) }},
		{"answered at another node", func(table *Table, at time.Time) { table.Merge(at, Suspect{Digest: digest(1), Cleared: true}) }},
	} {
		table := NewTable()
		table.Merge(start, Suspect{Digest: digest(1), Lives: []string{"s1", "s2"}})
		c.clear(table, start.Add(time.Second))
		at := start.Add(2 * time.Second)
		table.Merge(at, Suspect{Digest: digest(1), Lives: []string{"s1", "s2", "s3"}})
		if verdict := verdictAt(table, at, digest(1)); verdict != Send {
			t.Errorf("%s: verdict %v after one crash since the response, want it sent", c.name, verdict)
		}
		table.Merge(at, Suspect{Digest: digest(1), Lives: []string{"s1", "s2", "s3", "s4", "s5"}})
		if verdict := verdictAt(table, at, digest(1)); verdict != Refuse {
			t.Errorf("%s: verdict %v after three crashes since the response, want a refusal", c.name, verdict)
		}
	}
}

// Guards against two nodes that replace each other's crashes and log a confirmation each time.
func TestReportsOfManyCrashesSettle(t *testing.T) {
	one, two, guilty := NewTable(), NewTable(), digest(1)
	for server := range maxRecordedCrashes {
		crash(one, start, server, guilty)
		crash(two, start.Add(time.Second), maxRecordedCrashes+server, guilty)
	}
	const rounds = 5
	changed := false
	for round := range rounds {
		now := start.Add(time.Duration(round+1) * RebroadcastInterval)
		toOne, toTwo := two.suspect(now, guilty), one.suspect(now, guilty)
		changed = one.Merge(now, toOne)
		changed = two.Merge(now, toTwo) || changed
	}
	if changed {
		t.Errorf("the same reports still change the tables after %d rounds", rounds)
	}
}
