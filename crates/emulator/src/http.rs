//! HTTP/1.1 towards nodes and operators.

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

use crate::port::reset;

pub(crate) type Answer = Response<Full<Bytes>>;

/// An answer of this status.
pub(crate) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &serde_json::Value) -> Answer {
    let mut answer = answer(status, value.to_string());
    answer.headers_mut().insert("Content-Type", hyper::header::HeaderValue::from_static("application/json"));
    answer
}

/// No answer: the connection breaks.
#[derive(Debug, thiserror::Error)]
#[error("the server is gone")]
pub(crate) struct Gone;

/// Serves one connection until either side ends it, or it is told to.
pub(crate) async fn connection<S, F, Fut>(stream: S, end: CancellationToken, serve: F)
where
    S: AsyncRead + AsyncWrite + Unpin + Into<TcpStream>,
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Result<Answer, Gone>>,
{
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(serve));
    tokio::select! {
        _ = &mut serving => {} // however it ended, it is over
        () = end.cancelled() => reset(serving.into_parts().io.into_inner().into()),
    }
}

/// Never fails.
pub(crate) fn always(answer: Result<Answer, Infallible>) -> Result<Answer, Gone> {
    match answer {
        Ok(answer) => Ok(answer),
        Err(never) => match never {},
    }
}
