package main

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// Figures of the play, from the site dar-kurasini where it has them.
const (
	coldCoordinators = 3
	coldEngines      = 7
	coldRate         = 238.0                   // requests a second: 2.4 times 99
	coldAt           = 4 * time.Second         // when the last engine starts
	coldTold         = 500 * time.Millisecond  // until its start is in the notice board
	coldKill         = 1300 * time.Millisecond // from then until the coordinators are killed
	coldLength       = 12 * time.Second
	coldWindow       = 3000.0  // overloadForMs
	coldMultiple     = 2.5     // fallMultiple
	coldFrom         = 0.34    // coldFrom
	coldWarm         = 14000.0 // warmAfterMs
	coldCores        = 12
	coldCapacity     = 0.85 // of the cores
	coldSpread       = 1.2  // standard deviation of the work of a class, in multiples of its mean
)

// coldClass is a class with its share of the requests, its usual work in ms and its threads.
type coldClass struct {
	name                 string
	share, work, threads float64
	limit                int
}

var coldClasses = []coldClass{{"lookup", 0.794, 150, 1, 2700}, {"report", 0.15, 4350, 3, 18000}, {"load", 0.056, 4600, 2, 18000}}

// statementRunTime returns the run time that a statement names.
func statementRunTime(statement string) time.Duration {
	ms, _ := strconv.Atoi(statement[strings.LastIndexByte(statement, ' ')+1:])
	return time.Duration(ms) * time.Millisecond
}

// playCold plays a worker group that starts cold under a burst. All coordinators are killed soon after and start again at once. In no
// window of 3 s may the worker group get more than it bears.
func playCold(trouble bool) (verdict, error) {
	log := &runLog{}
	var members []member
	for i := range coldEngines {
		w := &workerGroup{name: fmt.Sprintf("s-%d", i+1), log: log, runTime: statementRunTime, work: func(class string) float64 {
			for _, c := range coldClasses {
				if c.name == class {
					return c.threads
				}
			}
			return 1
		}}
		if err := w.start(); err != nil {
			return notRun, err
		}
		members = append(members, member{id: w.name, addr: w.addr, zone: "room-a", phase: "Ready"})
	}
	var mu sync.Mutex
	running := make([]*program, coldCoordinators)
	boards := make([]*board, coldCoordinators)
	start := func(k int, known []member) error {
		b := &board{}
		if err := b.start(); err != nil {
			return err
		}
		p, err := startProgram(fleet{classes: usualClasses(), memoryMB: 192, seed: fmt.Sprintf("%x", record.start.UnixNano()+int64(k)),
			board: b.addr, members: known, index: k, of: coldCoordinators})
		mu.Lock()
		defer mu.Unlock()
		boards[k], running[k] = b, p
		return err
	}
	for k := range coldCoordinators {
		if err := start(k, members[:coldEngines-1]); err != nil {
			return notRun, err
		}
	}
	random := rand.New(rand.NewSource(1))
	begin := time.Now()
	var startedAt time.Time
	failed := make(chan error, coldCoordinators+1)
	go func() {
		time.Sleep(coldAt)
		startedAt = time.Now()
		cold := members[coldEngines-1]
		cold.upSinceMs = startedAt.UnixMilli()
		time.Sleep(coldTold)
		for _, b := range boards {
			_ = b.publish(cold)
		}
		time.Sleep(coldKill)
		var all sync.WaitGroup
		for k := range coldCoordinators {
			if !trouble {
				break
			}
			_ = running[k].cmd.Process.Kill()
			all.Go(func() { failed <- start(k, append(append([]member(nil), members[:coldEngines-1]...), cold)) })
		}
		all.Wait()
		note("%.0f ms after the cold start all coordinators serve", time.Since(startedAt).Seconds()*1000)
		failed <- nil
	}()
	var all sync.WaitGroup
	for n := 0; time.Since(begin) < coldLength; n++ {
		draw, c := random.Float64(), coldClasses[0]
		for _, c = range coldClasses {
			if draw -= c.share; draw < 0 {
				break
			}
		}
		sigma := math.Sqrt(math.Log(1 + coldSpread*coldSpread))
		work := c.work * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
		table, k := random.Intn(20), random.Intn(coldCoordinators)
		all.Go(func() {
			mu.Lock()
			addr := running[k].pgAddr
			mu.Unlock()
			session, err := dialPG(addr)
			if err != nil {
				return
			}
			defer session.close()
			more := fmt.Sprintf(",cpu=%.1f,heap_mb=100", work)
			statement := fmt.Sprintf("SELECT day, count(*) FROM sales_%d.orders GROUP BY day -- runs for %d", table, int(work/c.threads))
			if c.name == "load" {
				more += fmt.Sprintf(",unique=u%d,item=k%d", n, n)
				statement = fmt.Sprintf("INSERT INTO sales_%d.stock SELECT 1 -- runs for %d", table, int(work/c.threads))
			}
			session.query(fields(c.name, fmt.Sprintf("%016x", n+1), c.limit, more)+statement, 20*time.Second)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / coldRate * float64(time.Second)))
	}
	all.Wait()
	for len(failed) > 0 {
		if err := <-failed; err != nil {
			return notRun, err
		}
	}
	return judgeCold(log.snapshot(), startedAt)
}

// judgeCold compares what the cold worker group got in each window with what it bears. A query weighs the usual work of its class.
func judgeCold(runs []queryRunView, startedAt time.Time) (verdict, error) {
	mean := 0.0
	for _, c := range coldClasses {
		mean += c.share * c.work
	}
	type arrival struct{ at, weight float64 }
	var arrivals []arrival
	for _, r := range runs {
		for _, c := range coldClasses {
			if r.engine == fmt.Sprintf("s-%d", coldEngines) && c.name == r.class {
				arrivals = append(arrivals, arrival{r.begunAt.Sub(startedAt).Seconds() * 1000, c.work / mean})
			}
		}
	}
	worst := 0.0
	for i, last := range arrivals {
		if last.at >= coldWarm {
			break
		}
		got := 0.0
		for j := i; j >= 0 && arrivals[j].at > last.at-coldWindow; j-- {
			got += arrivals[j].weight
		}
		share := coldFrom + (1-coldFrom)*last.at/coldWarm // at the end of the window, when it is highest
		n := coldMultiple * share * coldCapacity * coldCores * coldWindow / mean
		bears := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			bears = n + 3*math.Sqrt(n) + 3
		}
		if got/bears > worst {
			worst = got / bears
			note("at %.0f ms after its start: %.1f requests of mean work in 3 s, N is %.1f, it bears %.1f", last.at, got, n, bears)
		}
	}
	note("it got %d requests, in the worst window %.2f times what it bears", len(arrivals), worst)
	switch {
	case worst > 1:
		return broken, nil
	case len(arrivals) < 20:
		return notRun, fmt.Errorf("the cold worker group got %d requests only", len(arrivals))
	}
	return held, nil
}
