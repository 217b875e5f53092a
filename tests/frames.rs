//! The frames of a peer link: messages that are ready together share one, within the size that a peer accepts.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::channel::mpsc::unbounded;
use futures::{SinkExt, StreamExt};
use serde::{Serialize, Serializer};
use tamarackdeck::{FrameTransport, decode_batch, encode_batch};
use tokio_tungstenite::tungstenite;

struct Case {
    name: &'static str,
    messages: usize,
    /// Bytes of each message.
    message_bytes: usize,
    /// Frames that they are sent in.
    frames: usize,
}

const CASES: &[Case] = &[
    Case { name: "one", messages: 1, message_bytes: 100, frames: 1 },
    Case {
        name: "23, the most whose number is in the first byte",
        messages: 23,
        message_bytes: 100,
        frames: 1,
    },
    Case { name: "24, whose number has a byte", messages: 24, message_bytes: 100, frames: 1 },
    Case { name: "small ones share a frame", messages: 200, message_bytes: 100, frames: 1 },
    Case { name: "256, whose number has two bytes", messages: 256, message_bytes: 100, frames: 1 },
    Case { name: "bodies of 1 MiB", messages: 20, message_bytes: 1 << 20, frames: 3 },
    Case { name: "bodies of 64 KiB", messages: 256, message_bytes: 64 << 10, frames: 3 },
    Case { name: "bodies of 5 MiB", messages: 5, message_bytes: 5 << 20, frames: 5 },
];

/// A message that counts how often it is encoded.
struct Counted {
    text: String,
    encodings: Arc<AtomicUsize>,
}

impl Serialize for Counted {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.encodings.fetch_add(1, Ordering::Relaxed);
        serializer.serialize_str(&self.text)
    }
}

#[tokio::test]
async fn messages_that_are_ready_together_fit_the_frames_of_a_peer() {
    let mut failures = Vec::new();
    for case in CASES {
        let (tx, rx) = unbounded();
        let ws = tx.sink_map_err(|_| tungstenite::Error::ConnectionClosed);
        let mut link = FrameTransport::<_, (), Counted>::new(ws, Default::default());
        let encodings = Arc::new(AtomicUsize::new(0));
        for n in 0..case.messages {
            let text = format!("{}{n:08}", "0".repeat(case.message_bytes));
            link.feed(Counted { text, encodings: encodings.clone() }).await.unwrap();
        }
        link.flush().await.unwrap();
        drop(link);
        let frames: Vec<_> =
            rx.map(|frame: tungstenite::Message| frame.into_data()).collect().await;
        let decoded: Result<Vec<Vec<String>>, _> =
            frames.iter().map(|frame| decode_batch(frame)).collect();
        let decoded = decoded.unwrap_or_else(|e| panic!("{}: {e}", case.name));
        for (frame, messages) in frames.iter().zip(&decoded) {
            let is_same = *frame == encode_batch(messages).unwrap();
            assert!(is_same, "{}: not the frame that its messages encode to", case.name);
        }
        let numbers: Vec<usize> = decoded.concat().iter().map(|m| m.parse().unwrap()).collect();
        assert_eq!(numbers, (0..case.messages).collect::<Vec<_>>(), "{}", case.name);
        let encodings = encodings.load(Ordering::Relaxed);
        println!("case: {}: {} frames, {encodings} encodings", case.name, frames.len());
        if frames.len() != case.frames || encodings != case.messages {
            failures.push(format!("{}: {} frames, {encodings} encodings", case.name, frames.len()));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
