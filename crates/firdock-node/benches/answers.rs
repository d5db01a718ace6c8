//! Cost of a request to an endpoint over a connection of its own, by the size of the answer.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a public function"
)]

use std::hint::black_box;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use firdock_node::http::connect;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use tokio::runtime::{Builder, Runtime};

const LIMIT: Duration = Duration::from_secs(5);
/// Sizes of answers, in bytes: a stock check, a dossier, and a map sheet.
const SIZES: [usize; 3] = [2_000, 40_000, 400_000];

/// Starts an endpoint that answers each request with `size` bytes.
fn start_endpoint(size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
    let answer = [head.as_bytes(), &vec![b'x'; size]].concat();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // An answer that the client does not read to its end is of no interest here.
            let _ = respond(stream, &answer);
        }
    });
    address
}

fn respond(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    let mut head = [0; 1024];
    let _request = stream.read(&mut head)?;
    stream.write_all(answer)
}

async fn call(address: SocketAddr) -> Bytes {
    let mut connection = connect(address, LIMIT).await.expect("a connection");
    let request = Request::get("/").body(Full::default()).expect("a request");
    let response = connection.call(request, LIMIT).await.expect("a response");
    let body = response.into_body().collect().await;
    body.expect("a whole body").to_bytes()
}

fn runtime() -> Runtime {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime")
}

fn answers(c: &mut Criterion) {
    let runtime = runtime();
    let mut group = c.benchmark_group("request and answer");
    for size in SIZES {
        let address = start_endpoint(size);
        group.throughput(Throughput::Bytes(size as u64));
        let id = BenchmarkId::from_parameter(size);
        group.bench_function(id, |b| {
            b.iter(|| black_box(runtime.block_on(call(address))));
        });
    }
    group.finish();
}

criterion_group!(benches, answers);
criterion_main!(benches);
