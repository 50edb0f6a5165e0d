//! Order of the requests of a service by their priority.

use ibiscroft_core::fleet::{Rank, RecentRanks, Standing};

use crate::support::at;

const fn rank(organisation: u32, route: u32) -> Rank {
    Rank { organisation, route }
}

/// A service may have one kind of request, several, or several with priorities of organisations.
#[test]
fn standing_compares_with_the_recent_requests_of_the_service() {
    struct Case {
        name: &'static str,
        earlier: Vec<(u64, Rank)>,
        rank: Rank,
        standing: Standing,
    }
    let cases = [
        Case {
            name: "first request",
            earlier: Vec::new(),
            rank: rank(2, 2),
            standing: Standing::Equal,
        },
        Case {
            name: "one priority",
            earlier: vec![(0, rank(2, 2))],
            rank: rank(2, 2),
            standing: Standing::Equal,
        },
        Case {
            name: "urgent route",
            earlier: vec![(0, rank(2, 2))],
            rank: rank(1, 1),
            standing: Standing::MostUrgent,
        },
        Case {
            name: "less urgent route",
            earlier: vec![(0, rank(0, 0))],
            rank: rank(2, 2),
            standing: Standing::LessUrgent,
        },
        Case {
            name: "in between",
            earlier: vec![(0, rank(0, 0)), (1, rank(2, 2))],
            rank: rank(1, 1),
            standing: Standing::LessUrgent,
        },
        Case {
            name: "organisation before route",
            earlier: vec![(0, rank(1, 0))],
            rank: rank(0, 2),
            standing: Standing::MostUrgent,
        },
        Case {
            name: "route among organisations of one priority",
            earlier: vec![(0, rank(1, 0))],
            rank: rank(1, 2),
            standing: Standing::LessUrgent,
        },
    ];
    for Case { name, earlier, rank, standing } in cases {
        let mut recent = RecentRanks::default();
        for (ms, rank) in earlier {
            recent.note(at(ms), rank);
        }
        assert_eq!(recent.note(at(1_000), rank), standing, "{name}");
        assert_eq!(recent.note(at(20_000), rank), Standing::Equal, "{name}, much later");
    }
}
