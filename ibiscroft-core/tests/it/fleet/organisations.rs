//! Organisations and their API keys.

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    Change, Configuration, Era, KeyDigest, OrganisationPolicy, Organisations, Quota, Revision,
    Update, View,
};
use ibiscroft_core::ids::OrganisationName;
use std::time::Duration;

use super::world::configuration;

/// Returns organisations with their keys; they are inserted in the given order.
fn organisations(entries: &[(&str, &[&str])]) -> Organisations {
    let mut organisations = Organisations::default();
    for (name, keys) in entries {
        let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        organisations.insert(&OrganisationName::new(*name), OrganisationPolicy::default(), keys);
    }
    organisations
}

fn holder<'a>(organisations: &'a Organisations, key: &str) -> Option<&'a str> {
    organisations.by_key(KeyDigest::of(key.as_bytes())).map(OrganisationName::as_str)
}

#[test]
fn key_belongs_to_its_organisation_only() {
    let organisations = organisations(&[("a", &["k-1", "k-2"]), ("b", &["k-3"]), ("c", &[])]);
    let keys = ["k-1", "k-2", "k-3", "", "k", "k-1 ", "K-1", "a"];
    let expected = [Some("a"), Some("a"), Some("b"), None, None, None, None, None];
    assert_eq!(keys.map(|key| holder(&organisations, key)), expected);
}

#[test]
fn key_of_several_organisations_stays_with_the_first() {
    let mut organisations = organisations(&[("a", &["k-1", "k-2"])]);
    let keys = ["k-1", "k-3", "k-2"].map(|key| KeyDigest::of(key.as_bytes()));
    let second = OrganisationName::new("b");
    let holders = organisations.insert(&second, OrganisationPolicy::default(), keys);
    assert_eq!(holders.iter().map(OrganisationName::as_str).collect::<Vec<_>>(), ["a", "a"]);
    let held = ["k-1", "k-2", "k-3"].map(|key| holder(&organisations, key));
    assert_eq!(held, [Some("a"), Some("a"), Some("b")]);
}

#[test]
fn key_listed_twice_by_its_organisation_is_no_conflict() {
    let mut organisations = Organisations::default();
    let keys = [KeyDigest::of(b"k"), KeyDigest::of(b"k")];
    let name = OrganisationName::new("a");
    assert!(organisations.insert(&name, OrganisationPolicy::default(), keys).is_empty());
    assert_eq!(holder(&organisations, "k"), Some("a"));
}

#[test]
fn only_organisations_with_a_limit_are_listed_with_their_quotas() {
    let quota = Quota { rate: 2.0, burst: 8.0 };
    let mut organisations = organisations(&[("a", &["k"])]);
    let limited = OrganisationPolicy { priority: Some(0), quota: Some(quota) };
    organisations.insert(&OrganisationName::new("b"), limited.clone(), []);
    let quotas: Vec<_> = organisations.quotas().collect();
    assert_eq!(quotas, [(&OrganisationName::new("b"), quota)]);
    let policy = |name: &str| organisations.policy(&OrganisationName::new(name)).cloned();
    assert_eq!(policy("a"), Some(OrganisationPolicy::default()));
    assert_eq!(policy("b"), Some(limited));
    assert_eq!(policy("c"), None);
}

/// Guards against keys or digests in log lines that show a configuration.
#[test]
fn debug_text_shows_neither_keys_nor_digests() {
    let organisations = organisations(&[("a", &["secret"])]);
    let text = format!("{organisations:?}");
    assert!(text.contains("\"a\"") && text.contains("keys: 1"), "{text}");
    assert!(!text.contains("secret") && !text.contains("KeyDigest"), "{text}");
}

/// The digest must stay the same, as gateways of different versions exchange it.
#[test]
fn digest_is_the_start_of_the_sha_256_hash() {
    let encoded = serde_json::to_string(&KeyDigest::of(b"abc")).unwrap();
    let (first, second) = (0xba78_16bf_8f01_cfea_u64, 0x4141_40de_5dae_2223_u64);
    assert_eq!(encoded, format!("[{first},{second}]"));
}

/// Guards against keys that were withdrawn and come back with an older configuration.
#[test]
fn keys_of_an_older_configuration_do_not_come_back() {
    let with_keys = |version, keys: &[&str]| {
        configuration(version, Vec::new()).with_organisations(organisations(&[("a", keys)]))
    };
    let mut view = View::default();
    let mut apply = |revision, is_full, configuration: Configuration| {
        let update = Update {
            era: Era(0),
            since: Revision(0),
            revision: Revision(revision),
            is_full,
            is_difference: false,
            changes: vec![Change::Configuration(Box::new(configuration))],
            hints: Vec::new(),
            age: Duration::ZERO,
        };
        view.apply(Tick::ZERO, update);
        let organisations = view.configuration().unwrap().organisations.clone().unwrap();
        ["old", "new"].map(|key| holder(&organisations, key).is_some())
    };
    assert_eq!(apply(1, true, with_keys(2, &["old"])), [true, false]);
    assert_eq!(apply(2, false, with_keys(3, &["new"])), [false, true]);
    assert_eq!(apply(3, false, with_keys(2, &["old"])), [false, true], "as a change");
    assert_eq!(apply(4, true, with_keys(2, &["old"])), [false, true], "in a listing");
    assert_eq!(apply(5, false, with_keys(4, &[])), [false, false], "the last key is removed");
}
