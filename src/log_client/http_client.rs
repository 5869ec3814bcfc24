//! Minimal HTTP/1.1 client of the platform's services, with a pool of idle connections and a timeout for each call.

use std::cell::RefCell;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Method, Request, StatusCode};
use monoio::net::TcpStream;
use serde::de::DeserializeOwned;

use super::Error;
use crate::server::Socket;
use crate::upstream_client::{join_small_body, put_fields, Progress, UpstreamResponse};

/// Largest response body that the client accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Largest number of idle connections; more concurrent calls are rare.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Response to a call, with its whole body.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Client of the service at one address.
pub(crate) struct HttpClient {
    address: String,
    vm: String,
    idle: RefCell<Vec<Socket>>,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Creates a client, which connects on the first call.
    pub(crate) fn new(address: &str, vm: &str) -> Self {
        Self {
            address: address.into(),
            vm: vm.into(),
            idle: RefCell::default(),
        }
    }

    /// Sends a request and parses the JSON body of a response with a success status.
    pub(crate) async fn call_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, Error> {
        let response = self.call(step, method, path, body, timeout).await?;
        if !response.status.is_success() {
            let status = response.status.as_u16();
            return Err(Error::Status(step, self.address.clone(), status));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| Error::InvalidResponse(step, self.address.clone(), error.to_string()))
    }

    /// Sends a request and returns the response, whatever its status.
    pub(crate) async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        match monoio::time::timeout(timeout, self.exchange(step, method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(step, self.address.clone())),
        }
    }

    async fn exchange(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, Error> {
        let output = self.encode(&method, path, body);
        let output = output.map_err(|error| self.connection_error(step, error.to_string()))?;
        // A connection returns to the pool only after a complete exchange, so that a cancelled call closes it.
        if let Some(socket) = self.take_idle() {
            match self.exchange_on(socket, output.clone()).await {
                Ok(response) => return Ok(response),
                // The server may have closed the idle connection, so the request is sent again on a new one.
                Err((_, Progress::Sending | Progress::Waiting)) => {}
                Err((message, Progress::Responding)) => {
                    return Err(self.connection_error(step, message));
                }
            }
        }
        let stream = TcpStream::connect(self.address.as_str()).await;
        let stream = stream.map_err(|error| self.connection_error(step, error.to_string()))?;
        let response = self.exchange_on(Socket::new(stream), output).await;
        response.map_err(|(message, _)| self.connection_error(step, message))
    }

    fn connection_error(&self, step: &'static str, message: String) -> Error {
        Error::Connection(step, self.address.clone(), message)
    }

    fn take_idle(&self) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut socket) = idle.pop() {
            // Data or the end of the stream on an idle connection means that the server closed it or will not use it.
            if socket.try_fill().is_none() {
                return Some(socket);
            }
        }
        None
    }

    /// Encodes a request as parts to write one after the other.
    fn encode(&self, method: &Method, path: &str, body: Bytes) -> http::Result<[Bytes; 2]> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.as_str())
            .header("x-vm", self.vm.as_str());
        if !body.is_empty() {
            request = request.header(CONTENT_LENGTH, body.len());
        }
        let request = request.body(body)?;
        let mut head = BytesMut::with_capacity(256);
        head.put_slice(format!("{} {} HTTP/1.1\r\n", request.method(), request.uri()).as_bytes());
        put_fields(&mut head, request.headers());
        head.put_slice(b"\r\n");
        Ok(join_small_body(head, request.body()))
    }

    /// Sends a request and reads the response; an error includes how far the exchange came.
    async fn exchange_on(
        &self,
        socket: Socket,
        output: [Bytes; 2],
    ) -> Result<Response, (String, Progress)> {
        let response = UpstreamResponse::request(socket, output, &self.address).await;
        let mut response =
            response.map_err(|failed| (failed.error.to_string(), failed.progress))?;
        let body = response.read_all(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| (error.to_string(), Progress::Responding))?;
        let status = StatusCode::from_u16(response.status());
        let status = status.map_err(|error| (error.to_string(), Progress::Responding))?;
        let headers = response.headers().clone();
        if let Some(socket) = response.into_reusable() {
            let mut idle = self.idle.borrow_mut();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(socket);
            }
        }
        Ok(Response {
            status,
            headers,
            body,
        })
    }
}
