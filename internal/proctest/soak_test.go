package proctest_test

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

const (
	// soakSeedsVariable is the number of fresh seeds of TestSoak, usualSoakSeeds in
	// make soak and none in CI if it is not set.
	soakSeedsVariable = "ZINNIASILL_SOAK_SEEDS"
	usualSoakSeeds    = 10
	// seedVariable is the seed from which the fresh ones are counted.
	seedVariable = "RAPID_SEED"
	// soakLength is the time in which faults begin, soakFaults their number.
	soakLength = 8 * time.Second
	soakFaults = 14
	// maxSoakDelay is the longest delay of a slow link.
	maxSoakDelay = 150 * time.Millisecond
)

// regressionSeeds are played in CI. Each seed that ever failed stays here, with the
// cause.
var regressionSeeds = []uint64{
	1, // a seed that has not failed, so that CI always plays one
}

// TestSoak guards against promises that hold under single faults and break when faults
// overlap: random processes are stopped, killed, restarted, lose their disks, are cut
// off, delayed and reset, and failure domains are taken out, while callers submit and
// cancel jobs. Afterwards everything must work again.
func TestSoak(t *testing.T) {
	t.Parallel()
	for _, seed := range soakSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playSoak(t, seed) })
	}
}

// soakSeeds returns the seeds to play.
func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	seeds := slices.Clone(regressionSeeds)
	count := 0
	if os.Getenv(soakVariable) != "" {
		count = usualSoakSeeds
	}
	if given := os.Getenv(soakSeedsVariable); given != "" {
		var err error
		if count, err = strconv.Atoi(given); err != nil {
			t.Fatalf("%s: %v", soakSeedsVariable, err)
		}
	}
	if count == 0 {
		return seeds
	}
	first, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedVariable, err)
	}
	for i := range uint64(count) {
		seeds = append(seeds, first+i)
	}
	return seeds
}

// soak is one play of random faults.
type soak struct {
	*fixture
	faults sync.WaitGroup

	mu     sync.Mutex
	delays map[string]time.Duration
	// busy are the names of the processes and failure domains that a fault has stopped.
	busy map[string]bool
}

// soakFault is one planned fault.
type soakFault struct {
	at      time.Duration
	length  time.Duration
	kind    string
	process int
	other   int
	delay   time.Duration
}

// soakKinds are the kinds of faults. Each returns after its end.
var soakKinds = map[string]func(s *soak, fault soakFault){
	"pause":     (*soak).pause,
	"kill":      (*soak).kill,
	"terminate": (*soak).terminate,
	"lose-disk": (*soak).loseDisk,
	"cut":       (*soak).cut,
	"mute":      (*soak).mute,
	"deafen":    (*soak).deafen,
	"cut-pair":  (*soak).cutPair,
	"delay":     (*soak).slow,
	"reset":     (*soak).reset,
	"domain":    (*soak).domain,
}

func planSoak(seed uint64) []soakFault {
	r := rand.New(rand.NewPCG(seed, seed))
	kinds := slices.Sorted(maps.Keys(soakKinds))
	plan := make([]soakFault, soakFaults)
	for i := range plan {
		plan[i] = soakFault{
			at:      time.Duration(r.Int64N(int64(soakLength))),
			length:  300*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second))),
			kind:    kinds[r.IntN(len(kinds))],
			process: r.IntN(1 << 16),
			other:   r.IntN(1 << 16),
			delay:   time.Duration(r.Int64N(int64(maxSoakDelay))),
		}
	}
	slices.SortFunc(plan, func(a, b soakFault) int { return int(a.at - b.at) })
	return plan
}

func playSoak(t *testing.T, seed uint64) {
	s := &soak{
		delays: map[string]time.Duration{}, busy: map[string]bool{},
	}
	s.fixture = startBehind(t, 6, &localcluster.Network{Delay: s.delay})
	l := s.startLoad(8, 50)
	began := time.Now()
	for _, fault := range planSoak(seed) {
		time.Sleep(time.Until(began.Add(fault.at)))
		t.Logf("%v: %s of %s for %v", fault.at, fault.kind, s.process(fault.process).Name, fault.length)
		s.faults.Go(func() { soakKinds[fault.kind](s, fault) })
	}
	s.faults.Wait()
	for i := range 3 {
		s.setDomain(s.Domain(i), catalog.DomainInService)
	}
	s.must(s.AwaitReady(s.ctx, s.All()...))
	l.awaitMore(2 * l.callers)
	l.cancel()
	l.wait.Wait() // the witness checks what the callers were told
}

// process returns the process that a drawn number stands for.
func (s *soak) process(number int) *localcluster.Process {
	all := s.All()
	return all[number%len(all)]
}

// take reserves what a fault stops; false if another fault has it.
func (s *soak) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

// withProcess has a fault stop its process, unless another fault has it.
func (s *soak) withProcess(fault soakFault, stop func(p *localcluster.Process)) {
	p := s.process(fault.process)
	if !s.take(p.Name) {
		return
	}
	defer s.release(p.Name)
	stop(p)
}

func (s *soak) pause(fault soakFault) {
	s.withProcess(fault, func(p *localcluster.Process) {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(fault.length)
		p.Signal(syscall.SIGCONT)
	})
}

func (s *soak) kill(fault soakFault) {
	s.withProcess(fault, func(p *localcluster.Process) {
		p.Kill()
		time.Sleep(fault.length)
		s.restart(p)
	})
}

func (s *soak) terminate(fault soakFault) {
	s.withProcess(fault, func(p *localcluster.Process) {
		if err := p.Terminate(s.ctx); err != nil {
			s.Errorf("terminate: %v", err)
		}
		s.restart(p)
	})
}

func (s *soak) restart(p *localcluster.Process) {
	if err := p.Start(); err != nil {
		s.Errorf("restart: %v", err)
	}
}

// loseDisk empties the data folder of a control replica while no other replica is
// stopped, and waits until the replica is ready again.
func (s *soak) loseDisk(fault soakFault) {
	i := fault.process % len(s.Controls)
	for at, p := range s.Controls {
		if !s.take(p.Name) {
			for _, taken := range s.Controls[:at] {
				s.release(taken.Name)
			}
			return
		}
	}
	defer func() {
		for _, p := range s.Controls {
			s.release(p.Name)
		}
	}()
	s.Controls[i].Kill()
	if err := s.LoseDisk(i); err != nil {
		s.Errorf("lose disk: %v", err)
	}
	s.restart(s.Controls[i])
	if err := s.AwaitReady(s.ctx, s.Controls[i]); err != nil {
		s.Errorf("after the loss of its disk: %v", err)
	}
}

func (s *soak) cut(fault soakFault) {
	heal := s.network.Partition(s.process(fault.process).Name)
	time.Sleep(fault.length)
	heal()
}

func (s *soak) mute(fault soakFault) {
	heal := s.network.BlockOutbound(s.process(fault.process).Name)
	time.Sleep(fault.length)
	heal()
}

func (s *soak) deafen(fault soakFault) {
	heal := s.network.BlockInbound(s.process(fault.process).Name)
	time.Sleep(fault.length)
	heal()
}

func (s *soak) cutPair(fault soakFault) {
	heal := s.network.Partition(s.process(fault.process).Name, s.process(fault.other).Name)
	time.Sleep(fault.length)
	heal()
}

// slow delays all that a process sends.
func (s *soak) slow(fault soakFault) {
	name := s.process(fault.process).Name
	s.setDelay(name, fault.delay)
	time.Sleep(fault.length)
	s.setDelay(name, 0)
}

func (s *soak) setDelay(name string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[name] = delay
}

func (s *soak) delay(from, _ string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays[from]
}

func (s *soak) reset(fault soakFault) {
	s.network.Reset(s.process(fault.process).Name)
}

// domain takes a failure domain out of service and checks that no task starts there
// after the promised time. It says nothing if control cannot be reached.
func (s *soak) domain(fault soakFault) {
	i := fault.process % 3
	if !s.take(s.Domain(i)) {
		return
	}
	defer s.release(s.Domain(i))
	if !s.tryDomain(s.Domain(i), catalog.DomainOutOfService) {
		return
	}
	out := time.Now()
	time.Sleep(startBound + fault.length)
	until := time.Now()
	if late := s.lateStarts(out, until, i, i+3); len(late) > 0 {
		s.Errorf("%d late starts in %s, the first %v, out since %v", len(late), s.Domain(i), late[0], out)
	}
	s.tryDomain(s.Domain(i), catalog.DomainInService)
}

func (s *soak) tryDomain(name string, state catalog.DomainState) bool {
	current, err := s.Operator().Domain(s.ctx, zinniasill.Domain(name))
	if err != nil {
		return false
	}
	_, err = s.Operator().PutDomain(s.ctx, zinniasill.Domain(name), state, localcluster.NewEdit(current.Revision))
	return err == nil
}
