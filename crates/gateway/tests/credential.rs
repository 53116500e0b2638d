//! Only one well-formed key gets through the parser of credentials, whatever callers send.

use almondbank_gateway::tenant::{Credential, Directory, Tenant};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

const CASES: u64 = 2_000;
const SEED: u64 = 7;
const SCHEME: &str = "bearer";

fn check<T: Testable>(property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(CASES)
        .quickcheck(property);
}

/// A key of visible ASCII characters.
#[derive(Clone, Debug)]
struct Key(String);

impl Arbitrary for Key {
    fn arbitrary(random: &mut Gen) -> Self {
        let length = 1 + usize::arbitrary(random) % 40;
        let visible: Vec<_> = (b'!'..=b'~').map(char::from).collect();
        let characters = (0..length).filter_map(|_| random.choose(&visible).copied());
        Self(characters.collect())
    }
}

/// A spelling of the scheme in upper and lower case.
#[derive(Clone, Debug)]
struct Scheme(String);

impl Arbitrary for Scheme {
    fn arbitrary(random: &mut Gen) -> Self {
        let spelling = SCHEME.chars().map(|character| {
            if bool::arbitrary(random) {
                character.to_ascii_uppercase()
            } else {
                character
            }
        });
        Self(spelling.collect())
    }
}

fn parse(values: &[Vec<u8>]) -> Credential {
    Credential::parse(values.iter().map(Vec::as_slice))
}

fn header(scheme: &str, key: &str) -> Vec<u8> {
    format!("{scheme} {key}").into_bytes()
}

/// Returns the key of a well-formed value, by a reading of its own: the scheme, one or more
/// spaces, and visible ASCII characters up to the end.
fn key_of(value: &[u8]) -> Option<String> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let spaces = rest.iter().take_while(|byte| **byte == b' ').count();
    let key = &rest[spaces..];
    let is_visible = |byte: &u8| (b'!'..=b'~').contains(byte);
    let is_key = !key.is_empty() && key.iter().all(is_visible);
    let is_bearer = scheme.to_ascii_lowercase() == SCHEME.as_bytes();
    (is_bearer && spaces > 0 && is_key).then(|| key.iter().copied().map(char::from).collect())
}

fn directory(keys: &[&str]) -> Directory {
    let tenant = Tenant {
        name: "studio".to_owned(),
        rank: None,
        quota: None,
    };
    let mut directory = Directory::default();
    directory.insert(tenant, keys.iter().map(|key| Credential::digest(key)));
    directory
}

fn admits(directory: &Directory, value: &[u8]) -> bool {
    let credential = Credential::parse([value].into_iter());
    directory.authenticate(&credential).is_some()
}

// Guards against a panic on bytes that are no text, and against values that are taken for keys.
#[test]
fn bytes_are_a_key_only_if_they_are_well_formed() {
    let property: fn(Vec<Vec<u8>>) -> bool = |values| {
        let expected = match values.as_slice() {
            [] => Credential::Absent,
            [value] => key_of(value).map_or(Credential::Malformed, |key| {
                Credential::Key(Credential::digest(&key))
            }),
            _ => Credential::Malformed,
        };
        parse(&values) == expected
    };
    check(property);
}

// Random bytes hardly ever begin with the scheme.
#[test]
fn bytes_after_the_scheme_are_a_key_only_if_they_are_well_formed() {
    let property: fn(Scheme, Option<u8>, Vec<u8>) -> bool = |scheme, separator, rest| {
        let separator = separator.map_or(b' ', |byte| byte % 64);
        let value = [scheme.0.into_bytes(), vec![separator], rest].concat();
        let expected = key_of(&value).map_or(Credential::Malformed, |key| {
            Credential::Key(Credential::digest(&key))
        });
        parse(&[value]) == expected
    };
    check(property);
}

#[test]
fn the_case_of_the_scheme_does_not_matter() {
    let property: fn(Scheme, Key) -> bool = |scheme, key| {
        let digest = Credential::digest(&key.0);
        parse(&[header(&scheme.0, &key.0)]) == Credential::Key(digest)
    };
    check(property);
}

// Guards against a key that is compared without regard to case.
#[test]
fn the_case_of_the_key_matters() {
    let property: fn(Key) -> bool = |key| {
        let listed = directory(&[&key.0]);
        let others = [key.0.to_ascii_lowercase(), key.0.to_ascii_uppercase()];
        let mut others = others.iter().filter(|other| **other != key.0);
        admits(&listed, &header(SCHEME, &key.0))
            && !others.any(|other| admits(&listed, &header(SCHEME, other)))
    };
    check(property);
}

// Guards against a comparison that ends with the shorter key.
#[test]
fn a_part_of_a_key_or_a_longer_one_is_not_the_key() {
    let property: fn(Key, Key) -> bool = |key, more| {
        let listed = directory(&[&key.0]);
        let longer = format!("{}{}", key.0, more.0);
        let shorter = &key.0[..key.0.len() - 1];
        let mut others = [longer.as_str(), shorter].into_iter();
        !others.any(|other| admits(&listed, &header(SCHEME, other)))
    };
    check(property);
}

// Guards against the first or the last of several values being taken.
#[test]
fn several_values_are_no_key_even_if_each_of_them_is() {
    let property: fn(Vec<Key>) -> bool = |keys| {
        let values: Vec<_> = keys.iter().map(|key| header(SCHEME, &key.0)).collect();
        let same = values.first().map(|value| vec![value.clone(); 2]);
        (values.len() < 2 || parse(&values) == Credential::Malformed)
            && same.is_none_or(|same| parse(&same) == Credential::Malformed)
    };
    check(property);
}

// Guards against a digest from which the key can be read.
#[test]
fn a_credential_does_not_show_its_key() {
    let property: fn(Key) -> bool = |key| {
        let credential = parse(&[header(SCHEME, &key.0)]);
        key.0.len() < 8 || !format!("{credential:?}").contains(&key.0)
    };
    check(property);
}
