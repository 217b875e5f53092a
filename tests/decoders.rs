//! Decoders of caller, peer, upstream and platform messages accept or reject any input without a panic.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use indexmap::IndexMap;
use proptest::prelude::*;
use tamarackdeck::{
    Claim, Doc, Head, Heartbeat, Hello, HelloReply, QueryAnswer, RequestOptions, Tick, Ticket,
    decode_batch, encode_batch, parse_label, parse_load,
};

const CASES: u32 = 4_000;

fn headers(pairs: &[(&str, Vec<u8>)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value))
        {
            map.append(name, value);
        }
    }
    map
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn peer_messages(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_batch::<Hello>(&bytes);
        let _ = decode_batch::<HelloReply>(&bytes);
        let _ = decode_batch::<Heartbeat>(&bytes);
    }

    #[test]
    fn peer_messages_with_a_changed_byte(at in 0usize..200, to in any::<u8>(), topic in "[a-z]{0,9}") {
        let entries = IndexMap::from([("e".to_owned(), vec![1, 2, 3].into())]);
        let doc = Doc { version: 7, entries };
        let docs = IndexMap::from([(topic, doc)]);
        let mut bytes = encode_batch(std::slice::from_ref(&docs)).unwrap().to_vec();
        prop_assert_eq!(decode_batch::<IndexMap<String, Doc>>(&bytes).unwrap(), vec![docs]);
        let at = at % bytes.len();
        bytes[at] = to;
        let _ = decode_batch::<IndexMap<String, Doc>>(&bytes);
        bytes.truncate(at);
        prop_assert!(decode_batch::<IndexMap<String, Doc>>(&bytes).is_err(), "a truncated frame must be rejected");
    }

    #[test]
    fn platform_and_operator_messages(text in "[\\[\\]{}\",:0-9a-z\\\\]{0,200}") {
        let _ = serde_json::from_str::<Head>(&text);
        let _ = serde_json::from_str::<Claim>(&text);
        let _ = serde_json::from_str::<Ticket>(&text);
        let _ = serde_json::from_str::<QueryAnswer>(&text);
    }

    #[test]
    fn upstream_load_and_label(text in "[0-9a-z.,-]{0,40}") {
        let _ = parse_load(&text);
        let _ = parse_label(&text);
    }

    #[test]
    fn caller_headers(value in proptest::collection::vec(any::<u8>(), 0..40), repeated in any::<bool>()) {
        for name in ["x-deadline-ms", "x-prefer", "idempotency-key", "x-shard"] {
            let mut pairs = vec![(name, value.clone())];
            if repeated {
                pairs.push((name, value.clone()));
            }
            let map = headers(&pairs);
            let parsed = RequestOptions::from_headers(&map);
            prop_assert!(!(repeated && map.len() == 2) || parsed.is_err(), "a repeated header must be rejected");
        }
    }
}

struct HelloCase {
    name: &'static str,
    edit: fn(&mut Hello),
    refused: Option<&'static str>,
}

const HELLOS: &[HelloCase] = &[
    HelloCase { name: "same deployment", edit: |_| {}, refused: None },
    HelloCase {
        name: "different failure domain",
        edit: |h| h.domain = "far".into(),
        refused: None,
    },
    HelloCase {
        name: "different deployment",
        edit: |h| h.deployment = "x".into(),
        refused: Some("deployment"),
    },
    HelloCase {
        name: "newer protocol version",
        edit: |h| h.version += 1,
        refused: Some("protocol version"),
    },
    HelloCase {
        name: "no instance name",
        edit: |h| h.from.0.clear(),
        refused: Some("no instance"),
    },
];

#[test]
fn hello_is_accepted_or_refused_with_a_reason() {
    for case in HELLOS {
        let from = tamarackdeck::InstanceId::new("a", 1);
        let version = tamarackdeck::PEER_PROTOCOL_VERSION;
        let mut hello =
            Hello { deployment: "default".into(), version, from: from.clone(), domain: "d".into() };
        (case.edit)(&mut hello);
        match (hello.reply("default", &from, Tick(7)), case.refused) {
            (HelloReply::Accepted { by, now }, None) => assert_eq!((by, now), (from, Tick(7))),
            (HelloReply::Refused(reason), Some(text)) => {
                assert!(reason.contains(text), "{}: {reason}", case.name)
            }
            (reply, _) => panic!("{}: {reply:?}", case.name),
        }
    }
}
