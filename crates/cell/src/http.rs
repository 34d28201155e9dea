//! HTTP server on the process's single thread.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use ntex::{
    ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response, body::Body},
    time::Seconds,
    util::{Bytes, BytesMut, stream_recv},
};
use tokio::net::TcpListener;

/// Time for which an idle connection is kept open.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(120);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Delay before the next attempt to accept a connection after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests on `addr` with `handle` until the process exits.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve<F, R>(addr: SocketAddr, handle: F) -> io::Result<()>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT));
    let cfg: SharedCfg = SharedCfg::new("http").add(http).into();
    let service = HttpService::<_, _, Body>::h1(fn_service(move |req: Request| {
        let response = handle(req);
        async move { Ok::<_, io::Error>(response.await) }
    }));
    let pipeline = service.pipeline(cfg.clone()).await;
    let pipeline =
        Rc::new(pipeline.map_err(|_| io::Error::other("the HTTP service could not be created"))?);
    ntex::rt::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(stream) = stream.into_std() else {
                continue;
            };
            // A failure only makes responses slower.
            let _ = stream.set_nodelay(true);
            let Ok(io) = ntex::rt::from_tcp_stream(stream, cfg.clone()) else {
                continue;
            };
            let pipeline = Rc::clone(&pipeline);
            ntex::rt::spawn(async move {
                // An error ends only this connection, and its client notices it.
                let _ = pipeline.call(io).await;
            });
        }
    });
    Ok(())
}

/// Reads a request's complete body.
///
/// # Errors
///
/// Returns an error if the body is truncated or too large.
pub(crate) async fn read_body(req: &mut Request) -> io::Result<Bytes> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("request body larger than 512 KiB"));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
