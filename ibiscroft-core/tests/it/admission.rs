//! Tests of admission control.

use std::collections::BTreeMap;

use ibiscroft_core::Tick;
use ibiscroft_core::admission::{
    Admission, AdmissionDecision, AdmissionRequest, CompletedRequest, Dequeued, Limits, Outcome,
    RequestClass,
};
use proptest::prelude::*;

use crate::support::{at, fuzz, ms};

const LIMITS: Limits = Limits { slots: 2, queue: 3, batch_queue: 2, queue_wait: ms_const(100) };

/// Returns the same as [`ms`], also in a constant.
const fn ms_const(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

fn interactive(deadline: u64) -> AdmissionRequest {
    AdmissionRequest { deadline: at(deadline), class: RequestClass::Interactive }
}

fn batch(deadline: u64) -> AdmissionRequest {
    AdmissionRequest { deadline: at(deadline), class: RequestClass::Batch }
}

fn completed(class: RequestClass, outcome: Outcome, started: Tick) -> CompletedRequest {
    CompletedRequest { started, class, outcome }
}

#[test]
fn sequential_requests_do_not_lower_the_concurrency() {
    let limits = Limits { slots: 60, queue: 120, ..LIMITS };
    let mut admission = Admission::new();
    for round in 0..50 {
        let now = at(round * 1_000);
        assert_eq!(
            admission.arrive(&limits, now, interactive(999_999), ()),
            AdmissionDecision::Run(())
        );
        let request = completed(RequestClass::Interactive, Outcome::Answered, now);
        admission.release(&limits, now + ms(50), &request);
    }
    let now = at(60_000);
    let arrivals: Vec<_> =
        (0..100).map(|_| admission.arrive(&limits, now, interactive(999_999), ())).collect();
    assert_eq!(
        arrivals.iter().filter(|arrival| **arrival == AdmissionDecision::Run(())).count(),
        60
    );
    assert_eq!(
        arrivals.iter().filter(|arrival| **arrival == AdmissionDecision::Queued).count(),
        40
    );
}

#[test]
fn batch_requests_use_only_capacity_that_interactive_requests_leave_free() {
    let mut admission = Admission::new();
    let deadline = 10 * 3_600_000;
    assert_eq!(
        admission.arrive(&LIMITS, at(0), batch(deadline), "b1"),
        AdmissionDecision::Run("b1")
    );
    assert_eq!(admission.arrive(&LIMITS, at(0), batch(deadline), "b2"), AdmissionDecision::Queued);
    assert_eq!(
        admission.arrive(&LIMITS, at(0), interactive(500), "i1"),
        AdmissionDecision::Run("i1")
    );
    assert_eq!(admission.arrive(&LIMITS, at(0), interactive(500), "i2"), AdmissionDecision::Queued);
    admission.release(&LIMITS, at(5), &completed(RequestClass::Batch, Outcome::Answered, at(0)));
    assert_eq!(admission.next(&LIMITS, at(5)), Dequeued::Run("i2"));
    assert_eq!(admission.next(&LIMITS, at(5)), Dequeued::None);
    admission.release(
        &LIMITS,
        at(10),
        &completed(RequestClass::Interactive, Outcome::Answered, at(0)),
    );
    assert_eq!(admission.next(&LIMITS, at(deadline - 1)), Dequeued::Run("b2"));
}

#[test]
fn request_is_rejected_at_once_when_expected_wait_exceeds_deadline() {
    let limits = Limits { slots: 1, queue: 100, ..LIMITS };
    let mut admission = Admission::new();
    let mut now = 0;
    for index in 0..20 {
        assert_eq!(
            admission.arrive(&limits, at(now), interactive(9_999), index),
            AdmissionDecision::Run(index)
        );
        now += 20;
        admission.release(
            &limits,
            at(now),
            &completed(RequestClass::Interactive, Outcome::Answered, at(now - 20)),
        );
    }
    assert_eq!(
        admission.arrive(&limits, at(now), interactive(9_999), 20),
        AdmissionDecision::Run(20)
    );
    let short = admission.arrive(&limits, at(now), interactive(now + 10), 21);
    let AdmissionDecision::Refused { waiter: 21, retry_after } = short else {
        panic!("{short:?}");
    };
    assert_eq!(retry_after, ms(50));
    assert_eq!(
        admission.arrive(&limits, at(now), interactive(now + 50), 22),
        AdmissionDecision::Queued
    );
}

#[test]
fn arriving_request_does_not_overtake_waiting_requests() {
    let limits = Limits { slots: 1, ..LIMITS };
    let mut admission = Admission::new();
    assert_eq!(admission.arrive(&limits, at(0), interactive(500), 1), AdmissionDecision::Run(1));
    assert_eq!(admission.arrive(&limits, at(0), interactive(500), 2), AdmissionDecision::Queued);
    admission.release(
        &limits,
        at(1),
        &completed(RequestClass::Interactive, Outcome::Answered, at(0)),
    );
    assert_eq!(admission.arrive(&limits, at(1), interactive(500), 3), AdmissionDecision::Queued);
    assert_eq!(admission.next(&limits, at(1)), Dequeued::Run(2));
    assert_eq!(admission.next(&limits, at(1)), Dequeued::None);
}

#[test]
fn request_shed_by_all_targets_is_requeued_at_the_front() {
    let limits = Limits { slots: 1, ..LIMITS };
    let mut admission = Admission::new();
    assert_eq!(admission.arrive(&limits, at(0), interactive(500), 1), AdmissionDecision::Run(1));
    assert_eq!(admission.arrive(&limits, at(0), interactive(500), 2), AdmissionDecision::Queued);
    admission.release(&limits, at(4), &completed(RequestClass::Interactive, Outcome::Shed, at(0)));
    assert_eq!(admission.requeue(&limits, at(4), at(100), 1), AdmissionDecision::Queued);
    assert_eq!(admission.next(&limits, at(4)), Dequeued::Run(1));
    admission.release(
        &limits,
        at(100),
        &completed(RequestClass::Interactive, Outcome::Shed, at(0)),
    );
    let late = admission.requeue(&limits, at(100), at(100), 1);
    assert!(matches!(late, AdmissionDecision::Refused { waiter: 1, .. }), "{late:?}");
}

#[test]
fn concurrency_falls_after_overload_outcomes_only() {
    struct Case {
        outcome: Outcome,
        expected: u32,
    }
    let limits = Limits { slots: 60, ..LIMITS };
    let cases = [
        Case { outcome: Outcome::Answered, expected: 60 },
        Case { outcome: Outcome::Failed, expected: 60 },
        Case { outcome: Outcome::Congested, expected: 1 },
        Case { outcome: Outcome::Shed, expected: 1 },
        Case { outcome: Outcome::TimedOut, expected: 1 },
    ];
    for case in cases {
        let mut admission = Admission::new();
        for _ in 0..200 {
            let arrived = admission.arrive(&limits, at(0), interactive(500), ());
            assert_eq!(arrived, AdmissionDecision::Run(()));
            admission.release(
                &limits,
                at(0),
                &completed(RequestClass::Interactive, case.outcome, at(0)),
            );
        }
        assert_eq!(admission.concurrency(&limits), case.expected, "{:?}", case.outcome);
    }
}

#[test]
fn concurrency_recovers_after_a_temporary_loss_of_slots() {
    let all = Limits { slots: 60, ..LIMITS };
    let few = Limits { slots: 1, ..LIMITS };
    let mut admission = Admission::new();
    for limits in [&all, &few] {
        assert_eq!(
            admission.arrive(limits, at(0), interactive(500), ()),
            AdmissionDecision::Run(())
        );
        admission.release(
            limits,
            at(1),
            &completed(RequestClass::Interactive, Outcome::Answered, at(0)),
        );
    }
    assert_eq!(admission.concurrency(&few), 1);
    assert_eq!(admission.concurrency(&all), 60);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { class: RequestClass, wait: u64 },
    Release { outcome: Outcome },
    Advance { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![4 => Just(RequestClass::Interactive), 1 => Just(RequestClass::Batch)];
    let outcome = prop_oneof![
        5 => Just(Outcome::Answered),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::TimedOut),
    ];
    prop_oneof![
        5 => (class, 1_u64..400).prop_map(|(class, wait)| Step::Arrive { class, wait }),
        4 => outcome.prop_map(|outcome| Step::Release { outcome }),
        2 => (1_u64..150).prop_map(|millis| Step::Advance { millis }),
    ]
}

/// Reference model of the running and waiting requests.
#[derive(Debug, Default)]
struct Model {
    running: Vec<(RequestClass, Tick)>,
    waiting: BTreeMap<usize, (AdmissionRequest, Tick)>,
}

impl Model {
    fn waiting(&self, class: RequestClass) -> usize {
        self.waiting.values().filter(|(request, _)| request.class == class).count()
    }

    fn start(&mut self, id: usize, now: Tick) {
        let (request, _) = self.waiting.remove(&id).expect("only a waiting request is started");
        let is_overtaking = self
            .waiting
            .iter()
            .any(|(other, (waiting, _))| *other < id && waiting.class == request.class);
        assert!(!is_overtaking, "request {id} started before an earlier one of its class");
        self.running.push((request.class, now));
    }

    fn expire(&mut self, id: usize, now: Tick) {
        let (request, since) = self.waiting.remove(&id).expect("only a waiting request expires");
        let waited = now.since(since);
        assert!(
            now >= request.deadline || waited >= LIMITS.queue_wait / 5,
            "request {id} expired after {waited:?}"
        );
    }
}

proptest! {
    #![proptest_config(fuzz(400))]

    #[test]
    fn queues_stay_bounded_and_no_request_is_lost(steps in prop::collection::vec(step(), 1..200)) {
        let mut admission = Admission::new();
        let mut model = Model::default();
        let mut now = at(0);
        for (id, step) in steps.into_iter().enumerate() {
            match step {
                Step::Arrive { class, wait } => {
                    let request = AdmissionRequest { deadline: now + ms(wait), class };
                    match admission.arrive(&LIMITS, now, request, id) {
                        AdmissionDecision::Run(_) => model.running.push((class, now)),
                        AdmissionDecision::Queued => {
                            model.waiting.insert(id, (request, now));
                        }
                        AdmissionDecision::Refused { waiter, .. } => prop_assert_eq!(waiter, id),
                    }
                }
                Step::Release { outcome } => {
                    if let Some((class, started)) = model.running.pop() {
                        admission.release(&LIMITS, now, &CompletedRequest { started, class, outcome });
                    }
                }
                Step::Advance { millis } => now = now + ms(millis),
            }
            loop {
                match admission.next(&LIMITS, now) {
                    Dequeued::Run(id) => model.start(id, now),
                    Dequeued::Expired(id) => model.expire(id, now),
                    Dequeued::None => break,
                }
            }
            prop_assert_eq!(admission.running() as usize, model.running.len());
            prop_assert_eq!(admission.waiting(), model.waiting(RequestClass::Interactive));
            prop_assert_eq!(admission.waiting_batch(), model.waiting(RequestClass::Batch));
            prop_assert!(admission.running() <= LIMITS.slots);
            prop_assert!(admission.waiting() <= LIMITS.queue as usize);
            prop_assert!(admission.waiting_batch() <= LIMITS.batch_queue as usize);
            let is_idle = model.running.is_empty();
            prop_assert!(!is_idle || model.waiting.is_empty(), "no request runs while some wait");
        }
        now = now + ms(1_000);
        while let Dequeued::Expired(id) = admission.next(&LIMITS, now) {
            model.expire(id, now);
        }
        prop_assert!(model.waiting.is_empty(), "requests wait past their deadline");
    }
}
