//! Benchmarks of selection and admission with the targets of a large service.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use ibiscroft_core::Tick;
use ibiscroft_core::admission::{
    Admission, AdmissionDecision, AdmissionRequest, CompletedRequest, Limits, Outcome, RequestClass,
};
use ibiscroft_core::budget::ServiceRetryBudget;
use ibiscroft_core::config::Target;
use ibiscroft_core::ids::{Connections, Permille, Slots, TargetName, ZoneName};
use ibiscroft_core::selection::{
    AttemptedTargets, Candidate, Eligibility, LoadTable, Pool, Random, ReportedTwoChoices,
    RoundRobin, Selector, TwoChoices,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TARGETS: usize = 890;
const ZONES: usize = 7;

fn pool() -> Pool {
    let mut loads = LoadTable::default();
    let mut candidates = Vec::with_capacity(TARGETS);
    for index in 0..TARGETS {
        let target = Target {
            name: TargetName::new(format!("target-{index}")),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
            zone: ZoneName::new(format!("zone-{}", index % ZONES)),
            slots: Slots(6),
            connections: Connections(200),
        };
        let load = loads.entry(&target.name);
        candidates.push(Candidate { target, eligibility: Eligibility::Warm, load });
    }
    Pool::new(&ZoneName::new("zone-0"), candidates)
}

fn bench_selector<S: Selector>(c: &mut Criterion, name: &str, selector: &S, pool: &Pool) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut attempted = AttemptedTargets::default();
    attempted.insert(3);
    let now = Tick::from_millis(1_000);
    c.bench_function(name, |b| {
        b.iter(|| selector.select(black_box(pool), black_box(&attempted), now, &mut rng));
    });
}

fn selection(c: &mut Criterion) {
    let pool = pool();
    bench_selector(c, "two choices of 890", &TwoChoices::default(), &pool);
    bench_selector(c, "random of 890", &Random, &pool);
    bench_selector(c, "round robin of 890", &RoundRobin::default(), &pool);
    bench_selector(c, "two choices by reports of 890", &ReportedTwoChoices, &pool);
    for candidate in pool.candidates().iter().step_by(2) {
        candidate.load.record_unreachable(Tick::from_millis(1_000), 0);
    }
    bench_selector(c, "two choices of 890, half unreachable", &TwoChoices::default(), &pool);
}

fn admission_and_selection(c: &mut Criterion) {
    let pool = pool();
    let budget = ServiceRetryBudget::new(Permille(100));
    let limits = Limits {
        slots: pool.warm_slots(),
        queue: 100,
        batch_queue: 100,
        queue_wait: std::time::Duration::from_millis(125),
    };
    let mut admission = Admission::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Tick::from_millis(1_000);
    let request =
        AdmissionRequest { deadline: Tick::from_millis(2_000), class: RequestClass::Interactive };
    c.bench_function("admit, select, count and release", |b| {
        b.iter(|| {
            let arrival = admission.arrive(&limits, now, request, ());
            assert_eq!(arrival, AdmissionDecision::Run(()));
            budget.record_call();
            let selected =
                TwoChoices::default().select(&pool, &AttemptedTargets::default(), now, &mut rng);
            let ibiscroft_core::selection::Selection::Warm(index) = selected else {
                return;
            };
            pool.candidate(index).load.begin_request().end_answered(now);
            let completed = CompletedRequest {
                started: now,
                class: RequestClass::Interactive,
                outcome: Outcome::Answered,
            };
            admission.release(&limits, now, &completed);
        });
    });
}

fn pool_building(c: &mut Criterion) {
    let pool = pool();
    let zone = ZoneName::new("zone-0");
    c.bench_function("build a pool of 890", |b| {
        b.iter_batched(
            || pool.candidates().to_vec(),
            |candidates| Pool::new(&zone, candidates),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, selection, admission_and_selection, pool_building);
criterion_main!(benches);
