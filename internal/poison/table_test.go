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

func first() int { return 0 }

func verdictAt(t *Table, at time.Time, d Digest) Verdict {
	verdict, _ := t.Verdict(at, d, first)
	return verdict
}

// crash lets a life crash while it runs some requests.
func crash(t *Table, at time.Time, life int, running ...Digest) {
	t.Crashed(at, fmt.Sprintf("s%d", life), running)
}

func TestVerdictsGrowWithTheLivesThatCrashed(t *testing.T) {
	table, guilty := NewTable(), digest(1)
	for life, want := range []Verdict{Send, Send, Alone, Refuse} {
		if got := verdictAt(table, start, guilty); got != want {
			t.Errorf("after %d lives: verdict %d, want %d", life, got, want)
		}
		crash(table, start, life, guilty)
		// Others saw the same life crash.
		crash(table, start, life, guilty)
	}
}

// An innocent request that was lost with the guilty one is blamed for one life at most.
func TestOnlyTheMostSuspectedIsBlamed(t *testing.T) {
	table, guilty := NewTable(), digest(0)
	for life := range 3 {
		crash(table, start, life, guilty, digest(10+life), digest(20+life))
	}
	if verdictAt(table, start, guilty) != Refuse {
		t.Error("the guilty request isn't refused")
	}
	for life := range 3 {
		if got := table.lives(digest(10 + life)); got > 1 {
			t.Errorf("an innocent request is blamed for %d lives", got)
		}
	}
}

func TestAnswerClears(t *testing.T) {
	table, innocent := NewTable(), digest(1)
	crash(table, start, 0, innocent)
	if _, tell := table.Answered(start, innocent); tell {
		t.Error("others are told of what they don't suspect")
	}
	crash(table, start, 1, innocent)
	crash(table, start, 2, innocent)
	told, tell := table.Answered(start.Add(time.Second), innocent)
	if !tell || !told.Cleared {
		t.Error("others aren't told that it was answered")
	}
	if verdictAt(table, start.Add(time.Second), innocent) != Send {
		t.Error("it is still suspected")
	}
	other := NewTable()
	crash(other, start, 1, innocent)
	crash(other, start, 2, innocent)
	if !other.Merge(start.Add(time.Second), told) || verdictAt(other, start.Add(time.Second), innocent) != Send {
		t.Error("another node still suspects it")
	}
	// What is older than the answer says nothing any more.
	old := Suspect{Digest: innocent, Lives: []string{"a", "b", "c"}, Age: 2 * time.Second}
	if other.Merge(start.Add(time.Second), old) {
		t.Error("older news count")
	}
}

func TestNodesJoinWhatTheySaw(t *testing.T) {
	one, two, guilty := NewTable(), NewTable(), digest(1)
	crash(one, start, 0, guilty)
	crash(one, start, 1, guilty)
	crash(two, start, 1, guilty)
	crash(two, start, 2, guilty)
	told := one.suspect(start, guilty)
	if !two.Merge(start, told) || two.Merge(start, told) {
		t.Error("the same news count twice, or not at all")
	}
	if got := two.lives(guilty); got != 3 {
		t.Errorf("%d lives, want the three that crashed", got)
	}
	if len(two.Certain(start)) != 1 || len(one.Certain(start)) != 0 {
		t.Error("certain requests are others than those of three lives")
	}
}

// Refused requests are tried again by one node after the other, and later each time.
func TestRefusedRequestsAreTriedAgain(t *testing.T) {
	table, guilty := NewTable(), digest(1)
	for life := range 3 {
		crash(table, start, life, guilty)
	}
	over := start.Add(refusedFor)
	second := func() int { return 1 }
	if verdict, left := table.Verdict(over.Add(-time.Second), guilty, first); verdict != Refuse || left != time.Second {
		t.Errorf("verdict %d, %v left a second before its time is over", verdict, left)
	}
	if verdictAt(table, over, guilty) != Alone {
		t.Error("the first node doesn't try it again")
	}
	if verdict, _ := table.Verdict(over, guilty, second); verdict != Refuse {
		t.Error("the second node tries it together with the first")
	}
	if verdict, _ := table.Verdict(over.Add(trialPause), guilty, second); verdict != Alone {
		t.Error("the second node never tries it")
	}
	crash(table, over, 3, guilty)
	if verdictAt(table, over.Add(2*refusedFor-time.Second), guilty) != Refuse {
		t.Error("it is tried again as soon as before")
	}
}

func TestSuspectsLapse(t *testing.T) {
	table := NewTable()
	crash(table, start, 0, digest(1))
	crash(table, start, 1, digest(1))
	if verdictAt(table, start.Add(suspectFor+time.Second), digest(1)) != Send {
		t.Error("a suspect of long ago is one still")
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
	for life := range 3 {
		crash(table, start, life, guilty)
	}
	for number := range 2 * maxSuspects {
		crash(table, start.Add(time.Duration(number)*time.Millisecond), 10+number, digest(100+number))
	}
	if verdictAt(table, start.Add(5*time.Second), guilty) != Refuse {
		t.Error("it is forgotten")
	}
}

// Plays servers that crash of nothing in particular, and of one request besides, while some
// popular requests run and many that come once; what is lost comes again. Counts both
// mistakes: innocent requests that are refused, and servers that crash of the guilty one after
// the third.
func TestMistakesOfBothKinds(t *testing.T) {
	for _, c := range []struct {
		name     string
		guilty   bool
		popular  int
		crashing float64
	}{
		{"crashes of other causes", false, 20, 0.02},
		{"one popular request", false, 1, 0.05},
		{"a guilty request", true, 20, 0},
		{"a guilty request and other causes", true, 20, 0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(c.popular)))
			table, guilty := NewTable(), digest(0)
			asked, refused, crashes, life, once := 0, 0, 0, 0, 1000
			// waiting is for how many steps a suspect has waited for another one.
			const mostSteps = int(aloneWait / (50 * time.Millisecond))
			waiting := make(map[Digest]int)
			var again []Digest
			for now := start; now.Before(start.Add(50 * time.Second)); now = now.Add(50 * time.Millisecond) {
				// What runs at one server at a time.
				running := append([]Digest(nil), again...)
				again = nil
				for len(running) < 4 {
					if random.IntN(2) == 0 {
						running = append(running, digest(10+random.IntN(c.popular)))
						continue
					}
					once++
					running = append(running, digest(once))
				}
				sent, alone, crashed := running[:0:0], false, random.Float64() < c.crashing
				for _, d := range running {
					asked++
					verdict := verdictAt(table, now, d)
					if waits := verdict == Alone && alone; waits && waiting[d] < mostSteps {
						waiting[d]++
						again = append(again, d)
						continue
					} else if waits || verdict == Refuse {
						refused++
						continue
					}
					delete(waiting, d)
					alone = alone || verdict == Alone
					sent = append(sent, d)
				}
				if c.guilty && random.IntN(8) == 0 && verdictAt(table, now, guilty) != Refuse {
					sent, crashed = append(sent, guilty), true
					crashes++
				}
				if !crashed {
					for _, d := range sent {
						table.Answered(now, d)
					}
					continue
				}
				life++
				crash(table, now, life, sent...)
				for _, d := range sent {
					if d != guilty {
						again = append(again, d)
					}
				}
			}
			if part := float64(refused) / float64(asked); part > 1e-4 {
				t.Errorf("%d of %d innocent requests refused, allowed one in 10,000", refused, asked)
			}
			if c.guilty && (crashes < certainFrom || crashes > certainFrom+2) {
				t.Errorf("%d servers crashed of the guilty request, want %d or few more", crashes, certainFrom)
			}
		})
	}
}

func TestDigestsTellRequestsApart(t *testing.T) {
	same := Request{Service: "s", Method: "GET", Host: "h", URI: "/a", Caller: "c", Body: []byte("b")}
	seen := map[Digest]string{DigestOf(same): "itself"}
	copied := same
	copied.Body = []byte("b")
	if DigestOf(copied) != DigestOf(same) {
		t.Error("one request has two digests")
	}
	for name, change := range map[string]func(*Request){
		"service": func(r *Request) { r.Service = "t" }, "method": func(r *Request) { r.Method = "PUT" },
		"host": func(r *Request) { r.Host = "i" }, "path": func(r *Request) { r.URI = "/b" },
		"caller": func(r *Request) { r.Caller = "d" }, "body": func(r *Request) { r.Body = []byte("c") },
		"fields moved": func(r *Request) { r.Host, r.URI = "h/", "a" },
		"long body":    func(r *Request) { r.Body = make([]byte, maxDigested) },
		"longer body":  func(r *Request) { r.Body = make([]byte, maxDigested+1) },
	} {
		other := same
		change(&other)
		if before, known := seen[DigestOf(other)]; known {
			t.Errorf("%s has the digest of %s", name, before)
		}
		seen[DigestOf(other)] = name
	}
}
