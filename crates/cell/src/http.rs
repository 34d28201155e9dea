//! HTTP listeners on the process's one thread.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use ntex::{
    ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response, body::Body},
    time::Seconds,
    util::{Bytes, BytesMut, stream_recv},
};
use tokio::net::TcpListener;

/// How long an idle connection is kept open.
const KEEP_ALIVE: Seconds = Seconds(120);

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Time after a failure to accept before the next try.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests on `addr` with `handle` until the process ends.
///
/// # Errors
///
/// Returns an error where the address can't be listened on.
pub(crate) async fn serve<F, R>(addr: SocketAddr, handle: F) -> io::Result<()>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE));
    let cfg: SharedCfg = SharedCfg::new("http").add(http).into();
    let service = HttpService::<_, _, Body>::h1(fn_service(move |req: Request| {
        let answer = handle(req);
        async move { Ok::<_, io::Error>(answer.await) }
    }));
    let pipeline = service.pipeline(cfg.clone()).await;
    let pipeline = Rc::new(pipeline.map_err(|_| io::Error::other("no HTTP service"))?);
    ntex::rt::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(stream) = stream.into_std() else {
                continue;
            };
            // Without it, answers only wait a little longer.
            let _ = stream.set_nodelay(true);
            let Ok(io) = ntex::rt::from_tcp_stream(stream, cfg.clone()) else {
                continue;
            };
            let pipeline = Rc::clone(&pipeline);
            ntex::rt::spawn(async move {
                // What ends a connection is its client's matter.
                let _ = pipeline.call(io).await;
            });
        }
    });
    Ok(())
}

/// Reads a request's body.
///
/// # Errors
///
/// Returns an error where it is cut short or too large.
pub(crate) async fn read_body(req: &mut Request) -> io::Result<Bytes> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("body too large"));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
