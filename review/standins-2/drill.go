package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	drillHost    = "jepu9.example"
	drillClients = 12
	drillServers = 5
	drillWork    = 20 * time.Millisecond
	// awayTime is how long the store is away in the drill, and processDelay when ended processes start again.
	awayTime     = 300 * time.Millisecond
	processDelay = 300 * time.Millisecond
	// cutTime is how long the new server is cut off from the store (srv_cut: 10 s in the site file).
	cutTime   = 6 * time.Second
	drillCalm = 8 * time.Second
)

const drillConfiguration = `{"Version":7,"Resources":[` +
	`{"EntryKind":"Routes","Metadata":{"Name":"r-lookup"},"Spec":{"Host":"` + drillHost + `","PathPrefix":"/lepu270/",` +
	`"Type":"safe","TimeoutMs":1000,"TargetMs":500,"Prio":2,"Service":"huvo11a","MaxAttempts":2}},` +
	`{"EntryKind":"Services","Metadata":{"Name":"huvo11a"},"Spec":{"HealthPath":"/healthz","MaxConns":110,"Proto":"h1","Tls":false,"Sharded":true,"WarmS":2.0}},` +
	`{"EntryKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}`

// drill adds a server, which is given keys. If trouble is set, it is then cut off from the store, the store
// comes back from a copy from before the server came, and all routers are killed at that moment. DRILL_CUT=0
// leaves the cut out. It reports whether the rule OWNER held.
func drill(program, template, folder string, trouble bool, record *recorder) bool {
	platform := newStore()
	platform.put("op/config", []byte(drillConfiguration))
	address := platform.listen()
	var mutex sync.Mutex
	var owners []*owner
	add := func(id string) *owner {
		mutex.Lock()
		defer mutex.Unlock()
		owners = append(owners, startOwner(platform, record, id, "huvo11a", drillWork))
		return owners[len(owners)-1]
	}
	for index := range drillServers {
		add(fmt.Sprintf("i-%d", index))
	}
	check := startHoldingCheck(record, func() []*owner {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]*owner(nil), owners...)
	})
	routers := startRouters(program, template, folder, address, record)
	defer func() {
		for _, r := range routers {
			r.kill()
		}
	}()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, sent int
	for number := range drillClients {
		clients.Go(func() {
			lookups(number, routers, record, stop, func(status int) {
				mutex.Lock()
				defer mutex.Unlock()
				sent++
				if status == http.StatusOK {
					served++
				}
			})
		})
	}
	time.Sleep(drillCalm)
	saved := platform.copy()
	record.say("the copy of the store is made; server i-new is added")
	added := add("i-new")
	awaitGrants(added)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		runDrill(platform, saved, added, routers, record)
	}
	time.Sleep(drillCalm)
	close(stop)
	clients.Wait()
	keys, longest := check.broken()
	record.say("%d lookups, %d served", sent, served)
	record.say("of %d keys looked at, two servers held %d for more than %v, for %v at most", keyCount/keyStep, keys, maxBothHold, longest.Round(time.Millisecond))
	if served == 0 {
		couldNotRun("no lookup was served")
	}
	return keys == 0
}

func runDrill(platform *store, saved copied, added *owner, routers []*router, record *recorder) {
	if os.Getenv("DRILL_CUT") != "0" {
		record.say("server %s is cut off from the store for %v", added.id, cutTime)
		added.cut(true)
		time.AfterFunc(cutTime, func() {
			record.line("the cut of server %s heals", added.id)
			added.cut(false)
		})
		time.Sleep(200 * time.Millisecond)
	}
	awaitRenewal(added)
	record.say("the store is away, and all routers are killed")
	platform.setAway(true)
	for _, r := range routers {
		r.kill()
	}
	time.Sleep(awayTime)
	platform.restore(saved)
	platform.put("op/config", []byte(drillConfiguration))
	platform.setAway(false)
	record.say("the store is back from its copy")
	time.Sleep(processDelay - awayTime)
	for _, r := range routers {
		r.start()
	}
}

// awaitRenewal waits until the added server has taken a renewal, so that its lease runs for about its whole
// length. Without it the lease runs for 3.8 to 5 s.
func awaitRenewal(added *owner) {
	before := added.grants()
	for end := time.Now().Add(3 * time.Second); added.grants() == before && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
}

func awaitGrants(added *owner) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if added.grants() > 0 {
			return
		}
	}
	couldNotRun("the added server was given no keys within 20 s")
}

// startRouters starts three routers of one zone and waits until they are ready.
func startRouters(program, template, folder, address string, record *recorder) []*router {
	var routers []*router
	var seeds []string
	for index := range 3 {
		r := newRouter(fmt.Sprintf("edge-heredia-hall-%d", index+1), "heredia-hall", program, folder, record)
		routers = append(routers, r)
		seeds = append(seeds, r.control)
	}
	for _, r := range routers {
		r.writeSettings(template, address, seeds, true)
		r.start()
	}
	waitReady(routers)
	for _, r := range routers {
		r.writeSettings(template, address, seeds, false)
	}
	return routers
}

// lookups sends lookups of random keys, a third of them of few busy ones that lie close together.
func lookups(number int, routers []*router, record *recorder, stop <-chan struct{}, report func(status int)) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: time.Second}
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		id := fmt.Sprintf("l%d-%d", number, count)
		key := rand.IntN(keyCount)
		if rand.IntN(3) == 0 {
			key = 20000 + rand.IntN(400)
		}
		to := routers[(number+count)%len(routers)]
		request, err := http.NewRequest(http.MethodGet, "http://"+to.front+"/lepu270/"+id, strings.NewReader(""))
		must(err)
		request.Host = drillHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "1000")
		request.Header.Set("X-Shard-Key", fmt.Sprint(key))
		answer, err := client.Do(request)
		if err != nil {
			record.line("client %d gets no answer to %s, key %d, from %s", number, id, key, to.name)
			report(0)
			continue
		}
		_ = answer.Body.Close()
		record.line("client %d gets %d to %s, key %d, from %s", number, answer.StatusCode, id, key, to.name)
		report(answer.StatusCode)
	}
}
