//! RESP2, as far as the cases need it.

use std::io::{self, BufRead};

/// A reply that a client has read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Bulk(Vec<u8>),
    Line(String),
}

/// Encodes a command.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a line without its end.
pub fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 || !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).map_err(|_| bad("not text"))
}

fn read_bulk(from: &mut impl BufRead, header: &str) -> io::Result<Vec<u8>> {
    let length: usize =
        header.strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(|| bad("no bulk string"))?;
    let mut bytes = vec![0; length + 2];
    from.read_exact(&mut bytes)?;
    if !bytes.ends_with(b"\r\n") {
        return Err(bad("a bulk string without its end"));
    }
    bytes.truncate(length);
    Ok(bytes)
}

/// Reads a command, which is an array of bulk strings.
pub fn read_command(from: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let header = read_line(from)?;
    let words: usize =
        header.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(|| bad("no array"))?;
    (0..words)
        .map(|_| {
            let header = read_line(from)?;
            read_bulk(from, &header)
        })
        .collect()
}

/// Reads a node's reply.
pub fn read_reply(from: &mut impl BufRead) -> io::Result<Reply> {
    let header = read_line(from)?;
    if header.starts_with('$') && header != "$-1" {
        return Ok(Reply::Bulk(read_bulk(from, &header)?));
    }
    Ok(Reply::Line(header))
}
