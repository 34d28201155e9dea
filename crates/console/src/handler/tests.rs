use ntex::web::{App, test};

use super::*;

/// Guards against a change that loses the version from which it was edited, so that it would be
/// compared with an empty document and would not conflict with other operators' changes.
#[ntex::test]
async fn publish_without_a_name_keeps_the_base_version() {
    let cell = SharedCell::new("127.0.0.1:1".parse().expect("a valid address"));
    let app = App::new().state(cell).configure(routes);
    let app = test::init_service(app).await;
    let fields = [
        ("base", "7"),
        ("author", " "),
        ("text", "teams: []"),
        ("button", "publish"),
    ];
    let req = test::TestRequest::post().uri("/text").set_form(&fields);
    let body = test::read_response(&app, req.to_request()).await;
    let page = String::from_utf8_lossy(&body);
    assert!(page.contains("Enter your name"), "{page}");
    assert!(page.contains(r#"name="base" value="7""#), "{page}");
}
