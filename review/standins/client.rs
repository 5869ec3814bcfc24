//! Clients: one request on one connection.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http::{read_head, read_message, Message};

/// How one request ended at the client.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A whole answer.
    Answer(Message),
    /// An answer that ended early.
    Cut(Message),
    /// The connection ended without an answer, or could not be opened.
    NoAnswer(String),
}

/// Opens a connection; clients allow one second for it.
pub fn connect(address: &str) -> std::io::Result<TcpStream> {
    let address = address.parse().expect("an address");
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(stream)
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> Ending {
    if let Err(error) = stream.write_all(request) {
        return Ending::NoAnswer(format!("sending: {error}"));
    }
    let copy = match stream.try_clone() {
        Ok(copy) => copy,
        Err(error) => return Ending::NoAnswer(error.to_string()),
    };
    let mut reader = BufReader::new(copy);
    match read_message(&mut reader, false) {
        Some(answer) if answer.is_complete => Ending::Answer(answer),
        Some(answer) => Ending::Cut(answer),
        None => Ending::NoAnswer("the connection ended".into()),
    }
}

/// Returns the status of a GET request on a connection of its own; 0 if there is no answer within a second.
pub fn get_status(address: &str, path: &str) -> u16 {
    let Ok(mut stream) = connect(address) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    read_head(&mut BufReader::new(stream)).map_or(0, |answer| answer.status())
}
