//! Calls whose path is no valid URI: they fail with a typed error and send nothing.

use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use gannetridge_net::{runtime, CallError, Client};
use http::{HeaderMap, Method};

const WAIT: Duration = Duration::from_millis(400);

/// Calls a server with a path; returns the error of each way to call.
fn errors(path: &'static str) -> Vec<CallError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let errors = runtime::run(async move {
        let client = Client::default();
        let plain = client.call(addr, Method::GET, path, "text/plain", Bytes::new(), WAIT);
        let plain = plain.await;
        let headers = HeaderMap::new();
        let with = client.call_with(addr, Method::GET, path, headers, Bytes::new(), WAIT);
        let with = with.await;
        [plain, with].into_iter().filter_map(Result::err).collect()
    });
    errors.expect("a runtime")
}

/// Declares tests, each with a name and a path that is no valid URI.
macro_rules! invalid_paths {
    ($($name:ident: $path:expr;)+) => {
        $(#[test]
        fn $name() {
            let errors = errors($path);
            let invalid = |error| matches!(error, &CallError::InvalidRequest(_));
            assert!(errors.len() == 2 && errors.iter().all(invalid), "{errors:?}");
        })+
    };
}

// Guards against text from outside that ends the process.
invalid_paths! {
    a_path_with_a_blank: "/rows?from=rack 03";
    a_path_with_a_line_break: "/rows?from=rack\n03";
    a_path_with_a_control_character: "/rows?from=\u{7f}";
    a_path_without_a_slash: "rows?from=a";
}
