//! The frames of a peer link: messages that are ready together share one, within the size that a peer accepts.

use futures::channel::mpsc::unbounded;
use futures::{SinkExt, StreamExt};
use tamarackdeck::{FrameTransport, decode_batch};
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
    Case { name: "small ones share a frame", messages: 200, message_bytes: 100, frames: 1 },
    Case { name: "bodies of 1 MiB", messages: 20, message_bytes: 1 << 20, frames: 4 },
    Case { name: "bodies of 64 KiB", messages: 256, message_bytes: 64 << 10, frames: 3 },
];

#[tokio::test]
async fn messages_that_are_ready_together_fit_the_frames_of_a_peer() {
    for case in CASES {
        let (tx, rx) = unbounded();
        let ws = tx.sink_map_err(|_| tungstenite::Error::ConnectionClosed);
        let mut link = FrameTransport::<_, (), String>::new(ws, Default::default());
        for n in 0..case.messages {
            link.feed(format!("{}{n:08}", "0".repeat(case.message_bytes))).await.unwrap();
        }
        link.flush().await.unwrap();
        drop(link);
        let frames: Vec<_> =
            rx.map(|frame: tungstenite::Message| frame.into_data()).collect().await;
        let decoded: Result<Vec<Vec<String>>, _> =
            frames.iter().map(|frame| decode_batch(frame)).collect();
        let decoded = decoded.unwrap_or_else(|e| panic!("{}: {e}", case.name)).concat();
        assert_eq!(frames.len(), case.frames, "{}", case.name);
        let numbers: Vec<usize> = decoded.iter().map(|m| m.parse().unwrap()).collect();
        assert_eq!(numbers, (0..case.messages).collect::<Vec<_>>(), "{}", case.name);
    }
}
