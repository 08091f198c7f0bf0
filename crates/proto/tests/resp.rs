//! Decoding of RESP2 frames.

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_proto::resp::{MalformedFrame, decode_frame};

fn decode(text: &[u8]) -> Result<Option<BytesFrame>, MalformedFrame> {
    decode_frame(&mut BytesMut::from(text), 100)
}

#[test]
fn frame_is_decoded_once_it_is_complete() {
    let complete = b"*2\r\n$3\r\nGET\r\n$-1\r\n";
    for n in 0..complete.len() {
        assert_eq!(decode(&complete[..n]), Ok(None), "{n} bytes");
    }
    let mut buffer = BytesMut::from(&b"*2\r\n$3\r\nGET\r\n$-1\r\n+x"[..]);
    assert!(matches!(decode_frame(&mut buffer, 100), Ok(Some(BytesFrame::Array(parts))) if parts.len() == 2));
    assert_eq!(&buffer[..], b"+x");
}

#[test]
fn invalid_and_oversized_frames_are_malformed() {
    let nested = b"*1\r\n".repeat(20);
    let cases: [&[u8]; 7] =
        [b"GET x\r\n", b"*2\r\n*1\r\n", b"$x\r\n", b"*-2\r\n", b"*65\r\n", b"$99\r\n", &nested];
    for case in cases {
        assert_eq!(decode(case), Err(MalformedFrame), "{:?}", String::from_utf8_lossy(case));
    }
}

#[test]
fn bulk_string_must_end_with_a_line_break() {
    assert_eq!(decode(b"$1\r\naXY"), Err(MalformedFrame));
}
