//! The HTTP/1.1 server side that the origin, discovery and the control interface share.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::listeners::reset;

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Returns a response with this status.
pub(crate) fn response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, value: &serde_json::Value) -> HttpResponse {
    let mut response = response(status, value.to_string());
    response
        .headers_mut()
        .insert("Content-Type", hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// The request gets no response; its connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without a response")]
pub(crate) struct ConnectionAborted;

/// Serves one connection until either side closes it, or resets it when `closing` is cancelled.
pub(crate) async fn serve_connection<S, F, Fut>(stream: S, closing: CancellationToken, serve: F)
where
    S: AsyncRead + AsyncWrite + Unpin + Into<TcpStream>,
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Result<HttpResponse, ConnectionAborted>>,
{
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(serve));
    tokio::select! {
        _ = &mut connection => {} // an error ends the connection too
        () = closing.cancelled() => reset(connection.into_parts().io.into_inner().into()),
    }
}

/// Converts the error type of a handler that never fails.
pub(crate) fn infallible(
    response: Result<HttpResponse, Infallible>,
) -> Result<HttpResponse, ConnectionAborted> {
    match response {
        Ok(response) => Ok(response),
        Err(never) => match never {},
    }
}
